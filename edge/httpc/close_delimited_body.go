package httpc

// closeDelimitedBody delivers a body that ends with the connection, as it arrives. It
// implements body.
type closeDelimitedBody struct {
	connection *connection
}

// read implements body.
func (b *closeDelimitedBody) read(data []byte) ([]byte, error) {
	return nil, b.connection.deliverBody(data)
}
