package operator

import "strings"

// UnreachableError reports that no controller gave an answer.
type UnreachableError struct {
	// Addresses are the addresses of the client.
	Addresses []string
	// Err is the error of the last address tried.
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "no controller answered at " + strings.Join(e.Addresses, ", ") + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}
