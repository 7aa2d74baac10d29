// Package client is the library for programs that send requests to the system.
// It fetches and caches the addresses of the gateways, sends requests, verifies
// that answers are complete, and resumes an interrupted answer by its key at any
// gateway.
//
// A request that may have run is never submitted again unless it is idempotent.
package client
