package client

// CorruptError reports an answer that is not whole although the system said
// that it is.
type CorruptError struct {
	// Detail says what is wrong.
	Detail string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return "the answer is not whole: " + e.Detail
}
