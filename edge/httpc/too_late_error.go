package httpc

// TooLateError is the cause when the instant after which a call must not be
// sent has passed.
type TooLateError struct{}

// Error implements error.
func (*TooLateError) Error() string {
	return "too late to be sent"
}
