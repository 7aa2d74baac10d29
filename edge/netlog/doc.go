// Package netlog routes the log of the network library into ours.
package netlog
