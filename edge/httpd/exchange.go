package httpd

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"time"
)

// lingerTimeout bounds the wait for a caller to close its connection after the
// last answer.
const lingerTimeout = 5 * time.Second

// Exchange is one request and the means to answer it. Its methods are called
// by one thread at a time and never block; a write to a caller who is gone
// fails with a *GoneError.
type Exchange struct {
	// Method is the HTTP method.
	Method string
	// Host is the host that the request names.
	Host string
	// Target is the path with the query, as it came.
	Target string
	// Path is the decoded path.
	Path string
	// Query holds the parameters of the URL.
	Query url.Values
	// Header holds the fields of the request.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Remote is the caller's address.
	Remote string
	// Local is the address that the caller connected to.
	Local string
	// Arrived is the time at which the request was whole.
	Arrived time.Time

	conn      net.Conn
	state     *connection
	idle      time.Duration
	keepAlive bool
	streaming bool
}

// Reply sends a whole answer and ends the exchange.
func (x *Exchange) Reply(status int, header http.Header, body []byte) error {
	defer x.finish()
	res := x.response(status, header)
	res.ContentLength = int64(len(body))
	if x.Method != http.MethodHead {
		res.Body = io.NopCloser(bytes.NewReader(body))
	}
	return x.send(res)
}

// StartStream sends the head of an answer whose body follows in pieces.
func (x *Exchange) StartStream(status int, header http.Header) error {
	x.streaming = true
	res := x.response(status, header)
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	res.Header.Set("Transfer-Encoding", "chunked")
	if res.Close {
		res.Header.Set("Connection", "close")
	}
	if err := res.Header.Write(&head); err != nil {
		return &GoneError{Err: err}
	}
	head.WriteString("\r\n")
	return x.write(head.Bytes())
}

// WriteStream sends one piece of the body, which must not be empty.
func (x *Exchange) WriteStream(piece []byte) error {
	var chunk bytes.Buffer
	chunk.Grow(len(piece) + 16)
	w := httputil.NewChunkedWriter(&chunk)
	if _, err := w.Write(piece); err != nil {
		return &GoneError{Err: err}
	}
	return x.write(chunk.Bytes())
}

// EndStream ends the body and the exchange.
func (x *Exchange) EndStream() error {
	defer x.finish()
	return x.write([]byte("0\r\n\r\n"))
}

// Abort cuts the connection, so that the caller can't take what it got for a
// whole answer.
func (x *Exchange) Abort() {
	x.state.abort(x)
	_ = x.conn.Close()
}

// Last makes this the last exchange of its connection: the answer asks the
// caller to close it. It has no effect once the head of the answer was sent.
func (x *Exchange) Last() {
	x.keepAlive = false
}

// IsStreaming reports whether the head of a streamed answer was sent.
func (x *Exchange) IsStreaming() bool {
	return x.streaming
}

func (x *Exchange) response(status int, header http.Header) *http.Response {
	if header == nil {
		header = http.Header{}
	}
	return &http.Response{
		StatusCode: status,
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header,
		Close:      !x.keepAlive,
	}
}

func (x *Exchange) send(res *http.Response) error {
	var out bytes.Buffer
	if err := res.Write(&out); err != nil {
		return &GoneError{Err: err}
	}
	return x.write(out.Bytes())
}

func (x *Exchange) write(p []byte) error {
	if _, err := x.conn.Write(p); err != nil {
		return &GoneError{Err: err}
	}
	return nil
}

// finish frees the connection for its next request. After the last answer the
// caller is to close it: were it closed here, while the poller may hold an event
// of its descriptor, the event would end whichever connection gets the same
// descriptor next.
func (x *Exchange) finish() {
	wait := x.idle
	if !x.keepAlive {
		wait = lingerTimeout
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(wait))
	x.state.end(x)
}
