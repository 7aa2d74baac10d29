package httpc

import "github.com/lesismal/nbio/nbhttp"

// chunkedBody passes a chunked body on to the parser, which delivers each chunk as a
// whole. It implements body.
type chunkedBody struct {
	parser *nbhttp.Parser
}

// newChunkedBody prepares the parser for a chunked body.
func newChunkedBody(parser *nbhttp.Parser) (*chunkedBody, error) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + headEnd
	return &chunkedBody{parser: parser}, parser.Parse([]byte(head))
}

// read implements body.
func (b *chunkedBody) read(data []byte) ([]byte, error) {
	return nil, b.parser.Parse(data)
}
