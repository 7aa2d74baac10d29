package httpc

import "strconv"

// SizeError is the cause when a part of a response exceeded its limit.
type SizeError struct {
	// Part names the part: the head, the body or a chunk of it, a line between chunks,
	// or the trailer.
	Part string
	// Limit is the largest size in bytes.
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return "the " + e.Part + " of the response exceeds " + strconv.Itoa(e.Limit) + " bytes"
}
