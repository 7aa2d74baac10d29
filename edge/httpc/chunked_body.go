package httpc

import (
	"strconv"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/net/http/httpguts"
)

// chunkedBody passes a chunked body on to the parser, which delivers each chunk as a
// whole. The parser ignores what stands behind a size, and supports only trailers that
// were announced, so chunkedBody reads the lines between chunks itself (RFC 9112, 7.1). The
// parser gets plain ones. Extensions are ignored, trailer fields are dropped.
//
// It implements body.
type chunkedBody struct {
	parser *nbhttp.Parser
	// left is the number of bytes to come of the current chunk and the line end after
	// its data; 0 between chunks.
	left int
	// isLast is true after the last chunk, while trailer fields may follow.
	isLast bool
	// trailerBytes is the number of bytes received after the last chunk.
	trailerBytes int
	line         lineBuffer
}

// newChunkedBody prepares the parser for a chunked body.
func newChunkedBody(parser *nbhttp.Parser) (*chunkedBody, error) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + headEnd
	return &chunkedBody{parser: parser}, parser.Parse([]byte(head))
}

// read implements body.
func (b *chunkedBody) read(data []byte) ([]byte, error) {
	if b.left > 0 {
		n := min(b.left, len(data))
		b.left -= n
		return data[n:], b.parser.Parse(data[:n])
	}
	line, rest, err := b.line.take(data)
	if err != nil {
		return nil, err
	}
	if line == nil {
		return nil, b.checkFirst(b.line.first())
	}
	return rest, b.readLine(string(line))
}

// checkFirst fails if no line between chunks can start with a byte, so that a server that
// sends anything else and then nothing is not waited for.
func (b *chunkedBody) checkFirst(first byte) error {
	mayStart := isHexDigit(first)
	if b.isLast {
		mayStart = first == lineEnd[0] || httpguts.IsTokenRune(rune(first))
	}
	if !mayStart {
		return &MalformedChunkError{Detail: "no line between chunks"}
	}
	return nil
}

// readLine reads a line between chunks, with its end.
func (b *chunkedBody) readLine(line string) error {
	text, ok := strings.CutSuffix(line, lineEnd)
	if !ok {
		return &MalformedChunkError{Detail: "a line without CR"}
	}
	if !b.isLast {
		return b.readSizeLine(text)
	}
	b.trailerBytes += len(line)
	if b.trailerBytes > MaxHeadBytes {
		return &SizeError{Part: "trailer", Limit: MaxHeadBytes}
	}
	return b.readTrailerLine(text)
}

// readSizeLine reads the line before the data of a chunk.
func (b *chunkedBody) readSizeLine(line string) error {
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	if size == 0 {
		b.isLast = true
		return nil
	}
	b.left = size + len(lineEnd)
	return b.parser.Parse([]byte(strconv.FormatInt(int64(size), 16) + lineEnd))
}

// readTrailerLine reads a line after the last chunk. An empty one ends the body.
func (b *chunkedBody) readTrailerLine(line string) error {
	if line == "" {
		return b.parser.Parse([]byte("0" + headEnd))
	}
	_, err := parseField(line)
	return err
}

// parseChunkSize reads the size from the line before a chunk. It fails with a
// *MalformedChunkError, or with a *SizeError beyond MaxChunkBytes.
func parseChunkSize(line string) (int, error) {
	text, extensions, hasExtensions := strings.Cut(line, ";")
	if hasExtensions {
		text = strings.TrimRight(text, blanks)
	}
	size, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &MalformedChunkError{Detail: "an invalid size"}
	}
	if !httpguts.ValidHeaderFieldValue(extensions) {
		return 0, &MalformedChunkError{Detail: "a control byte in an extension"}
	}
	if size > MaxChunkBytes {
		return 0, &SizeError{Part: "body", Limit: MaxChunkBytes}
	}
	return int(size), nil
}

func isHexDigit(c byte) bool { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }
