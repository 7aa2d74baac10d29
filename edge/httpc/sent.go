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
	// RepeatsID is true if one of the last of them had the same value of EchoHeader.
	RepeatsID bool
}
