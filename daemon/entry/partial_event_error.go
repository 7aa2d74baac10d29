package entry

import "strconv"

// PartialEventError reports a stream that ended inside an event.
type PartialEventError struct {
	// Bytes is the length of the incomplete event.
	Bytes int
}

// Error implements error.
func (e *PartialEventError) Error() string {
	return "the stream ended inside an event, after " + strconv.Itoa(e.Bytes) + " bytes of it"
}
