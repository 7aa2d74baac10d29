package wire

import "fmt"

// EncodeError reports a value that can't be encoded as a message.
type EncodeError struct {
	// Message is the value.
	Message Message
	// Kind is the kind of the message; 0 if the type of the value has none.
	Kind Kind
	// Err is the cause; nil if Kind is 0.
	Err error
}

// Error implements error.
func (e *EncodeError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("encode: %T is not a message", e.Message)
	}
	return fmt.Sprintf("encode kind %d: %v", e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }
