package command

// UsageError reports arguments that are missing or not allowed.
type UsageError struct {
	// Problem says what is wrong.
	Problem string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Problem
}
