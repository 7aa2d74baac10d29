package client

// event is a part of an answer as it arrives. A block is the text of one
// server-sent event; the last event has isLast set.
type event struct {
	blocks []block
	isLast bool
	err    error
	status int
	body   []byte
}
