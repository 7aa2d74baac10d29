package thread

import "fmt"

// PanicError reports that a duty ended by a panic.
type PanicError struct {
	// Duty is the name of the duty.
	Duty string
	// Value is the value of the panic.
	Value any
	// Stack is the stack of the thread at the panic.
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value)
}
