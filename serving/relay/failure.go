package relay

// Failure describes how an attempt ended without a complete response.
type Failure struct {
	// NotSent is true if no byte of the request was sent.
	NotSent bool
	// Disconnected is true if the upstream closed or reset the connection after the
	// request was sent, as it does when its process ends.
	Disconnected bool
	// Canceled is true if this gateway canceled the attempt.
	Canceled bool
	// Detail is the cause, for the log.
	Detail string
}
