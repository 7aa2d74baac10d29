package host

// FailureType is the type of an error.
type FailureType string

// The types of errors that several stand-ins give.
const (
	// FailureNotRun is a request that was not run.
	FailureNotRun FailureType = "not_run"
	// FailureInvalid is a request that can't be served as it is.
	FailureInvalid FailureType = "invalid_request"
	// FailureNotFound is a path, or a thing named by it, that does not exist.
	FailureNotFound FailureType = "not_found"
	// FailureThrottled is a call over the rate limit.
	FailureThrottled FailureType = "rate_exceeded"
	// FailureUnavailable is an outage.
	FailureUnavailable FailureType = "unavailable"
	// FailureInternal is a failure inside the stand-in.
	FailureInternal FailureType = "internal"
)
