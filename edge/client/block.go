package client

// block is one server-sent event.
type block struct {
	name string
	data []byte
}
