package http1

// MethodError is the cause when a request asks for a tunnel.
type MethodError struct {
	// Method is the method received.
	Method string
}

// Error implements error.
func (e *MethodError) Error() string {
	return "unsupported method " + e.Method
}
