package httpd

import "github.com/lesismal/nbio/nbhttp"

// discarding takes the place of the parser of a connection that was refused: what
// still comes is dropped until the caller closes it or its time is up.
type discarding struct {
	nbhttp.ParserCloser
}

// Parse implements nbhttp.ParserCloser.
func (*discarding) Parse([]byte) error {
	return nil
}
