package http1

import "strconv"

// SizeError is the cause when a part of a message exceeds its limit.
type SizeError struct {
	// Part is what is too large.
	Part Part
	// Limit is the largest size in bytes.
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return "the " + string(e.Part) + " exceeds " + strconv.Itoa(e.Limit) + " bytes"
}
