package relay

// NoteEvent names a decision on a request.
type NoteEvent string

// The events.
const (
	// NoteRetried is an attempt that is followed by another one.
	NoteRetried NoteEvent = "request_retried"
	// NoteEnded is the end of a request.
	NoteEnded NoteEvent = "request_ended"
)
