package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Arrival is an authenticated request and its caller.
type Arrival struct {
	// Handle is the caller.
	Handle Handle
	// Request is what is asked for. It is not changed later.
	Request request.Request
	// UnixSeconds is the time by the wall clock, for the record alone.
	UnixSeconds int64
}
