package operator

import "strings"

// UnreachableError reports that no controller gave an answer.
type UnreachableError struct {
	// Addresses are those that were tried.
	Addresses []string
	// Err is the failure of the last one.
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "no controller answered of " + strings.Join(e.Addresses, ", ") + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}
