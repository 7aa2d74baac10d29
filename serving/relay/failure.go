package relay

// Failure says how an attempt ended without a whole answer.
type Failure struct {
	// NotSent is true when no byte of the request had left.
	NotSent bool
	// Canceled is true when this gateway gave the attempt up.
	Canceled bool
	// Detail is the cause, for the log.
	Detail string
}
