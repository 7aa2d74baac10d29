package relay

import "time"

// ResponseHead is what decisions depend on in the head of an upstream's response.
type ResponseHead struct {
	// Status is the HTTP status.
	Status int
	// Sealed is true if the response carries the upstream's proof of origin. A
	// success without it counts as a failed attempt.
	Sealed bool
	// NotRun is true if the upstream reports that it did not run the request.
	NotRun bool
	// NoEvents is true if the body is not a stream of events.
	NoEvents bool
	// Draining is true if the upstream says that it is leaving.
	Draining bool
	// RetryAfter is how long the upstream wants no further requests from this gateway;
	// 0 if it did not say.
	RetryAfter time.Duration
	// BadRetryAfter is true if it said so in a way that can't be read.
	BadRetryAfter bool
	// Misdirected is true if a different upstream now has the address.
	Misdirected bool
}

// Statuses that tell a caller of a gateway that its request has not run and never will.
// An upstream says that of a request by NotRun or Misdirected.
const (
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// isRejection reports whether the status would tell a caller that its request has not
// run.
func (h ResponseHead) isRejection() bool {
	switch h.Status {
	case statusRequestTimeout, statusTooManyRequests, statusUnavailable:
		return true
	default:
		return false
	}
}

// isSuccess reports whether the status is 2xx.
func (h ResponseHead) isSuccess() bool {
	return h.Status >= 200 && h.Status < 300
}

// hasEvents reports whether the body is a stream of events that may be passed on
// piece by piece.
func (h ResponseHead) hasEvents() bool {
	return h.isSuccess() && h.Sealed && !h.NoEvents
}
