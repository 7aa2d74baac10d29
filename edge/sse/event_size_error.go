package sse

import "strconv"

// MaxEventBytes bounds one event of a stream. The largest real ones have a few
// kilobytes.
const MaxEventBytes = 1 << 20

// EventSizeError reports a stream with an event that has no end within
// MaxEventBytes.
type EventSizeError struct{}

// Error implements error.
func (*EventSizeError) Error() string {
	return "an event of the stream exceeds " + strconv.Itoa(MaxEventBytes) + " bytes"
}
