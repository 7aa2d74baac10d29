package weights

// ThrottledError reports a read that the store rejected because of its rate limit.
type ThrottledError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return "weight store limits the rate: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ThrottledError) Unwrap() error {
	return e.Err
}
