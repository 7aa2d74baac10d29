package process

import "fmt"

// StatusError reports an exit status that was not expected.
type StatusError struct {
	// Name is the name of the process.
	Name string
	// Status is the exit status.
	Status int
	// Expected is the one expected.
	Expected int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s ended with status %d, not %d", e.Name, e.Status, e.Expected)
}
