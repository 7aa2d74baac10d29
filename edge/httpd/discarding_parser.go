package httpd

import "github.com/lesismal/nbio/nbhttp"

// discardingParser replaces the parser of a connection after a malformed request.
// It drops further bytes until the client closes the connection or lingerTimeout
// passes.
type discardingParser struct {
	nbhttp.ParserCloser
}

// Parse implements nbhttp.ParserCloser.
func (*discardingParser) Parse([]byte) error {
	return nil
}
