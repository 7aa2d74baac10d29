package dispatch

// Failure says how an attempt failed.
type Failure struct {
	// Kind says what it means.
	Kind FailureKind
	// Detail is for the log.
	Detail string
}
