// Package relay passes TCP and UDP traffic on between two processes, and can
// hold it up as a cut network does: no connection is closed, nothing arrives.
package relay
