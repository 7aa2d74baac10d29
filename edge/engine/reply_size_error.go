package engine

import "strconv"

// ReplySizeError reports that the reply of a plain service is too large.
type ReplySizeError struct{}

// Error implements error.
func (*ReplySizeError) Error() string {
	return "the reply exceeds " + strconv.Itoa(maxReplyBytes) + " bytes"
}
