package relay

// BodyChunk is a part of a response body: whole events of a stream, or any bytes
// of another response.
type BodyChunk struct {
	// Bytes are the unchanged bytes.
	Bytes []byte
	// FirstEvent and LastEvent are the numbers of the first and last event in
	// Bytes; 0 if the events have no numbers.
	FirstEvent, LastEvent int64
	// HasData is set if Bytes holds an event with data.
	HasData bool
	// Unnumbered is set if Bytes holds an event without a number.
	Unnumbered bool
}

// isProgress reports whether a stream has made progress. Comments alone are none.
func (b BodyChunk) isProgress() bool {
	return b.HasData || b.LastEvent > 0
}
