package httpc

// CanceledError is the cause when Client.Cancel ended the call, or when the
// client was closed before a connection was established.
type CanceledError struct{}

// Error implements error.
func (*CanceledError) Error() string {
	return "canceled"
}
