// Package host runs a stand-in: an HTTP server, one duty with one ring, timers,
// and the fault switches that all stand-ins share.
package host
