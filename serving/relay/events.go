package relay

// Events are whole events of a stream, or bytes of a plain answer.
type Events struct {
	// Bytes are the events as they came.
	Bytes []byte
	// First and Last are the numbers of the first and last event in Bytes; 0
	// where they have none.
	First, Last int64
}
