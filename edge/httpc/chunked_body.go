package httpc

import (
	"math"
	"strconv"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/sycamorecourse/sycamorecourse/edge/http1"
)

const (
	// lineEnd ends a line between chunks.
	lineEnd = "\r\n"
	// bodyEnd is the last chunk, without a trailer.
	bodyEnd = "0" + http1.HeadEnd
)

// chunkedBody passes a chunked body on to the parser, which delivers each chunk as a
// whole. The parser gets plain lines between the chunks, in place of those received. It
// implements body.
type chunkedBody struct {
	parser *nbhttp.Parser
	chunks *http1.Chunks
}

// newChunkedBody prepares the parser for a chunked body.
func newChunkedBody(parser *nbhttp.Parser) (*chunkedBody, error) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + http1.HeadEnd
	limits := http1.ChunkLimits{Chunk: MaxChunkBytes, Body: math.MaxInt, Line: MaxHeadBytes}
	return &chunkedBody{parser: parser, chunks: http1.NewChunks(limits)}, parser.Parse([]byte(head))
}

// read implements body.
func (b *chunkedBody) read(data []byte) ([]byte, error) {
	part, rest, err := b.chunks.Next(data)
	if err != nil {
		return nil, err
	}
	switch part.Kind {
	case http1.ChunkBegins:
		err = b.parser.Parse([]byte(strconv.FormatInt(int64(part.Size), 16) + lineEnd))
	case http1.ChunkData:
		err = b.parser.Parse(part.Data)
	case http1.ChunkEnds:
		err = b.parser.Parse([]byte(lineEnd))
	case http1.BodyEnds:
		err = b.parser.Parse([]byte(bodyEnd))
	}
	return rest, err
}
