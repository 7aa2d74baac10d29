package world

// NotReadyError reports a gateway that did not become ready in time.
type NotReadyError struct {
	// Gateway is the name of the gateway.
	Gateway string
}

// Error implements error.
func (e *NotReadyError) Error() string { return e.Gateway + " did not get ready" }
