package httpc

// UnsolicitedError is the cause when a server sent bytes that belong to no request.
type UnsolicitedError struct {
	// Address is the address of the server.
	Address string
}

// Error implements error.
func (e *UnsolicitedError) Error() string {
	return "bytes without a request from " + e.Address
}
