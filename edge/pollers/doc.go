// Package pollers holds what has to be known of the pollers of an nbio engine: an
// engine that is stopped before they run may never end (Await), and a connection must
// not be closed beside them (Shutdown).
package pollers
