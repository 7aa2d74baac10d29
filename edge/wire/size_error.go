package wire

import "strconv"

// SizeError reports a message whose body exceeds MaxMessageBytes.
type SizeError struct {
	// Bytes is the length of the body.
	Bytes uint64
}

// Error implements error.
func (e *SizeError) Error() string {
	return "body of " + strconv.FormatUint(e.Bytes, 10) + " bytes is over the limit of " + strconv.Itoa(MaxMessageBytes)
}
