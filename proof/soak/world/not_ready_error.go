package world

// NotReadyError reports a gateway that did not get ready.
type NotReadyError struct {
	// Gateway names it.
	Gateway string
}

// Error implements error.
func (e *NotReadyError) Error() string { return e.Gateway + " did not get ready" }
