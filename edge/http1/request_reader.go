package http1

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// maxEmptyLines bounds the empty lines before a request, which some clients send after the
// body of the request before.
const maxEmptyLines = 4

// RequestReader reads the requests of one connection from its bytes, which may arrive in
// any pieces. The zero value is ready for use. After an error it must not be used: where
// the next request begins is not known then.
type RequestReader struct {
	head       HeadBuffer
	emptyLines int
	// current is the request whose body is being received; nil before its head.
	current *Request
	// awaitsContinue is true from the head of a request whose client may wait for an interim
	// response until that is sent or some of the body has come.
	awaitsContinue bool
	// left is the number of bytes to come of a body with a length.
	left int
	// chunks reads a body in chunks; nil for others.
	chunks *Chunks
}

// Next reads the next part of a request. It returns the request once that is complete, and
// the bytes that it hasn't read. Call it again while there are any.
//
// It fails with a *SizeError, a *MalformedChunkError or an error of the head, as soon as
// the bytes tell: a body that is too large is not waited for.
func (r *RequestReader) Next(data []byte, limits Limits) (*Request, []byte, error) {
	if r.current == nil {
		return r.readHead(data, limits)
	}
	r.awaitsContinue = false
	if r.chunks != nil {
		return r.readChunk(data)
	}
	return r.readSized(data)
}

// TakeContinue reports, once for each request, whether its client waits for an interim
// response before it sends the body.
func (r *RequestReader) TakeContinue() bool {
	awaits := r.awaitsContinue
	r.awaitsContinue = false
	return awaits
}

// readHead reads the head of a request, or an empty line before it.
func (r *RequestReader) readHead(data []byte, limits Limits) (*Request, []byte, error) {
	if r.head.Len() == 0 && len(data) > 0 && !mayStartRequest(data[0]) {
		return nil, nil, &MalformedHeadError{Detail: "no request line"}
	}
	head, rest, err := r.head.Take(data)
	if err != nil {
		return nil, nil, err
	}
	if head == nil {
		return nil, nil, r.checkPartial(limits)
	}
	if string(head) == lineEnd {
		return nil, rest, r.skipEmptyLine()
	}
	if len(head) > limits.Head {
		isLine := bytes.IndexByte(head, '\n') >= limits.Head
		return nil, nil, headSizeError(isLine, limits)
	}
	parsed, err := parseRequestHead(head)
	if err != nil {
		return nil, nil, err
	}
	r.emptyLines = 0
	return r.beginBody(&Request{RequestHead: *parsed}, rest, limits)
}

// mayStartRequest reports whether a request, or an empty line before it, can start with a
// byte.
func mayStartRequest(first byte) bool {
	return first == lineEnd[0] || first == lineEnd[1] || httpguts.IsTokenRune(rune(first))
}

// checkPartial fails if the part of a head that has arrived is too large.
func (r *RequestReader) checkPartial(limits Limits) error {
	if r.head.Len() <= limits.Head {
		return nil
	}
	return headSizeError(r.head.isLineOpen(), limits)
}

func headSizeError(isLine bool, limits Limits) error {
	if isLine {
		return &SizeError{Part: RequestLinePart, Limit: limits.Head}
	}
	return &SizeError{Part: HeadPart, Limit: limits.Head}
}

// skipEmptyLine counts an empty line before a request.
func (r *RequestReader) skipEmptyLine() error {
	r.emptyLines++
	if r.emptyLines > maxEmptyLines {
		return &MalformedHeadError{Detail: "empty lines before a request"}
	}
	return nil
}

// beginBody prepares for the body of a request, and returns the request if it has none.
func (r *RequestReader) beginBody(request *Request, rest []byte, limits Limits) (*Request, []byte, error) {
	switch request.Framing.Kind {
	case ChunkedBody:
		r.chunks = NewChunks(ChunkLimits{Chunk: limits.Body, Body: limits.Body, Line: limits.Head})
	case SizedBody:
		if request.Framing.Length > limits.Body {
			return nil, nil, &SizeError{Part: BodyPart, Limit: limits.Body}
		}
		r.left = request.Framing.Length
	default:
		return request, rest, nil
	}
	r.current, r.awaitsContinue = request, request.expectsContinue()
	return nil, rest, nil
}

// readSized reads a part of a body with a length.
func (r *RequestReader) readSized(data []byte) (*Request, []byte, error) {
	n := min(r.left, len(data))
	r.left -= n
	r.current.Body = append(r.current.Body, data[:n]...)
	if r.left > 0 {
		return nil, nil, nil
	}
	return r.end(), data[n:], nil
}

// readChunk reads a part of a body in chunks.
func (r *RequestReader) readChunk(data []byte) (*Request, []byte, error) {
	part, rest, err := r.chunks.Next(data)
	if err != nil {
		return nil, nil, err
	}
	switch part.Kind {
	case ChunkData:
		r.current.Body = append(r.current.Body, part.Data...)
	case BodyEnds:
		return r.end(), rest, nil
	}
	return nil, rest, nil
}

// end returns the request that is complete, and starts the next one.
func (r *RequestReader) end() *Request {
	request := r.current
	r.current, r.chunks = nil, nil
	return request
}
