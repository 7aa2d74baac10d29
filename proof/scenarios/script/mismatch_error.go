package script

import "fmt"

// MismatchError reports a value that is not the expected one.
type MismatchError struct {
	// What names the value.
	What string
	// Found is the value.
	Found string
	// Expected is the expected one.
	Expected string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s is %q, expected %q", e.What, e.Found, e.Expected)
}
