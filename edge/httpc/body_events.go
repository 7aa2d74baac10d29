package httpc

import "github.com/lesismal/nbio/nbhttp"

// bodyEvents receives what the parser decodes of the bodies of a connection. It implements
// nbhttp.Processor.
type bodyEvents struct {
	nbhttp.EmptyProcessor
	connection *connection
}

// OnBody implements nbhttp.Processor.
func (e *bodyEvents) OnBody(_ *nbhttp.Parser, data []byte) error {
	return e.connection.deliverBody(data)
}

// OnComplete implements nbhttp.Processor.
func (e *bodyEvents) OnComplete(*nbhttp.Parser) {
	e.connection.endResponse()
}

// Close implements nbhttp.Processor.
func (e *bodyEvents) Close(_ *nbhttp.Parser, err error) {
	e.connection.ended(err)
}
