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

// Parse implements nbhttp.ParserCloser.
func (b *openBody) Parse(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return b.connection.OnBody(nil, data)
}

// CloseAndClean implements nbhttp.ParserCloser.
func (b *openBody) CloseAndClean(error) {}
