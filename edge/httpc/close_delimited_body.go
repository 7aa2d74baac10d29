package httpc

import "net"

// closeDelimitedBody replaces the parser of a connection while it receives a
// close-delimited body: it passes the bytes on unparsed. It implements
// nbhttp.ParserCloser.
type closeDelimitedBody struct {
	connection *connection
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (b *closeDelimitedBody) UnderlayerConn() net.Conn {
	return b.connection.conn
}

// Parse implements nbhttp.ParserCloser.
func (b *closeDelimitedBody) Parse(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return b.connection.OnBody(nil, data)
}

// CloseAndClean implements nbhttp.ParserCloser.
func (b *closeDelimitedBody) CloseAndClean(error) {}
