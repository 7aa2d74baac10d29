package service

// FailureType is the type of an error of the service.
type FailureType string

// The types of errors.
const (
	// FailureNotRun is a call that was not run.
	FailureNotRun FailureType = "not_run"
	// FailureUnavailable is an outage.
	FailureUnavailable FailureType = "unavailable"
	// FailureInternal is a failure inside the service.
	FailureInternal FailureType = "internal"
	// FailureNotFound is an unknown path under /standin/.
	FailureNotFound FailureType = "not_found"
)
