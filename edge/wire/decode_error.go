package wire

import "fmt"

// DecodeError reports a received message that is malformed or exceeds a limit.
type DecodeError struct {
	// Kind is the kind of the message.
	Kind Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode kind %d: %v", e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
