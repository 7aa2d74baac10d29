package wire

import "fmt"

// EncodeError reports a message that can't be sent.
type EncodeError struct {
	// Message is the message.
	Message Message
	// Kind is its kind; 0 if it is not a message.
	Kind Kind
	// Err is the cause; nil if it is not a message.
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
