package dispatch

// Failure describes how an attempt, or an export or import for it, failed.
type Failure struct {
	// Kind says what the failure means for the request.
	Kind FailureKind
	// Detail is for the log.
	Detail string
}
