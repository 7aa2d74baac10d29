package client

// responsePart is what has arrived of a response since the previous part. A
// streamed response fills events, any other one fills body. The last part has
// isLast set.
type responsePart struct {
	events []streamEvent
	isLast bool
	err    error
	status int
	body   []byte
}
