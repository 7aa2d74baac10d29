package sse

// Events are complete events of a stream, in the bytes of the stream.
type Events struct {
	// Bytes holds the events unchanged, with the comments between them.
	Bytes []byte
	// First and Last are the numeric ids of the first and the last event that has
	// one; 0 if none has.
	First, Last int64
	// HasData is set if one of them is an event with data, not only a comment or a
	// keep-alive without any field.
	HasData bool
	// Unnumbered is set if one of them has fields, but no numeric id.
	Unnumbered bool
}
