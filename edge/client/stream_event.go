package client

// streamEvent is the name and the data of one server-sent event.
type streamEvent struct {
	name string
	data []byte
}
