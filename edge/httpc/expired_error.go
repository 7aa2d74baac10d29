package httpc

// ExpiredError is the cause when Call.NotAfter passed before the request was
// sent.
type ExpiredError struct{}

// Error implements error.
func (*ExpiredError) Error() string {
	return "send deadline passed"
}
