package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Arrival is an authenticated request and its caller.
type Arrival struct {
	// Handle identifies the caller.
	Handle CallerHandle
	// Request is the decoded request. The sender must not change it later.
	Request request.Request
	// UnixSeconds is the wall-clock time of the arrival. It is only recorded; no
	// decision depends on it.
	UnixSeconds int64
}
