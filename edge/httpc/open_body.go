package httpc

import "net"

// openBody reads a body that ends with its connection. It implements
// nbhttp.ParserCloser.
type openBody struct {
	connection *connection
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (b *openBody) UnderlayerConn() net.Conn {
	return b.connection.conn
}

// Parse implements nbhttp.ParserCloser. A reset that has come together with the
// data is found here, since the end of the connection does not show it.
func (b *openBody) Parse(data []byte) error {
	if len(data) > 0 {
		if err := b.connection.OnBody(nil, data); err != nil {
			return err
		}
	}
	return socketError(b.connection.conn)
}

// CloseAndClean implements nbhttp.ParserCloser.
func (b *openBody) CloseAndClean(error) {}
