package client

// CorruptError reports an answer that does not match the counts or the digest that
// the system sent with it, or that is malformed.
type CorruptError struct {
	// Detail says what is wrong.
	Detail string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return "incomplete or corrupt answer: " + e.Detail
}
