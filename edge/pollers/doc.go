// Package pollers waits until the pollers of an nbio engine are running. An engine
// that is stopped earlier may never end; see Await.
package pollers
