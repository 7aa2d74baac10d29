package httpc

// ClosedError is the cause when the server closed the connection.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string {
	return "connection closed by the peer"
}
