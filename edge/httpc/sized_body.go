package httpc

import (
	"strconv"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/sycamorecourse/sycamorecourse/edge/http1"
)

// sizedBody passes a body with a length on to the parser, which delivers it as a whole.
// It implements body.
type sizedBody struct {
	parser *nbhttp.Parser
	// left is the number of bytes still to come.
	left int
}

// newSizedBody prepares the parser for a body of the given length, at least 1.
func newSizedBody(parser *nbhttp.Parser, length int) (*sizedBody, error) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(length) + http1.HeadEnd
	return &sizedBody{parser: parser, left: length}, parser.Parse([]byte(head))
}

// read implements body.
func (b *sizedBody) read(data []byte) ([]byte, error) {
	n := min(b.left, len(data))
	b.left -= n
	return data[n:], b.parser.Parse(data[:n])
}
