package httpc

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Sent describes how a call was sent.
type Sent struct {
	// At is when the request was written.
	At clock.Instant
	// Address is the IP and port of the server.
	Address string
	// Connection numbers the connections of a client, from 1.
	Connection uint64
	// Calls is the number of calls that the connection had carried before.
	Calls int
	// RepeatsID is true if one of them had the same ID, which should never be.
	RepeatsID bool
	// Skipped is the number of idle connections that were not used since they had carried
	// a call with the same ID.
	Skipped int
}
