package httpc

// CanceledError is the cause when the caller gave the call up.
type CanceledError struct{}

// Error implements error.
func (*CanceledError) Error() string {
	return "canceled"
}
