package thread

import "fmt"

// PanicError reports that a duty ended with a panic.
type PanicError struct {
	// Duty is the name of the duty.
	Duty string
	// Value is the value of the panic.
	Value any
	// Stack is the stack trace of the panic. It is nil in an Ended.
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value)
}
