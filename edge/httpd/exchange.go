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

	"github.com/sycamorecourse/sycamorecourse/edge/pollers"
)

// lingerTimeout bounds the wait for a client to close its connection after the
// last response.
const lingerTimeout = 5 * time.Second

// Exchange is one request and the means to reply to it. Its methods never block
// and must not be called concurrently. A write fails with a *DisconnectedError if
// the client has disconnected.
type Exchange struct {
	// Method is the HTTP method.
	Method string
	// Host is the value of the Host field.
	Host string
	// Target is the path and the query as received.
	Target string
	// Path is the decoded path, and RoutePath that by which a route to another server is
	// found; see http1.Target.
	Path, RoutePath string
	// Query holds the decoded query parameters.
	Query url.Values
	// Header holds the request header, without Host.
	Header http.Header
	// Body is the complete request body.
	Body []byte
	// Remote is the address of the client.
	Remote string
	// Local is the address that the client connected to.
	Local string
	// Arrived is when the request was received completely.
	Arrived time.Time

	conn        net.Conn
	state       *connection
	idleTimeout time.Duration
	// isLast is true if the connection serves no exchange after this one.
	isLast    bool
	streaming bool
}

// Reply sends a complete response and ends the exchange. The response to HEAD has no body
// and does not say how long that would be.
func (x *Exchange) Reply(status int, header http.Header, body []byte) error {
	defer x.finish()
	res := x.response(status, header)
	if x.Method == http.MethodHead {
		return x.sendHead(res)
	}
	res.ContentLength = int64(len(body))
	res.Body = io.NopCloser(bytes.NewReader(body))
	return x.send(res)
}

// StartStream sends the status and the header of a chunked response. WriteStream
// sends its body, EndStream ends it. The response to HEAD has no body.
func (x *Exchange) StartStream(status int, header http.Header) error {
	x.streaming = true
	res := x.response(status, header)
	res.Header.Set("Transfer-Encoding", "chunked")
	return x.sendHead(res)
}

// WriteStream sends one chunk of the body. The chunk must not be empty: an empty
// one would end the body.
func (x *Exchange) WriteStream(piece []byte) error {
	if x.Method == http.MethodHead {
		return nil
	}
	var chunk bytes.Buffer
	chunk.Grow(len(piece) + 16)
	w := httputil.NewChunkedWriter(&chunk)
	if _, err := w.Write(piece); err != nil {
		return &DisconnectedError{Err: err}
	}
	return x.write(chunk.Bytes())
}

// EndStream ends the body and the exchange.
func (x *Exchange) EndStream() error {
	defer x.finish()
	if x.Method == http.MethodHead {
		return nil
	}
	return x.write([]byte("0\r\n\r\n"))
}

// Abort closes the connection, so that the client does not take a partial
// response for a complete one.
func (x *Exchange) Abort() {
	x.state.abort(x)
	pollers.Shutdown(x.conn)
}

// DisableKeepAlive makes this the last exchange of its connection: the response
// carries "Connection: close", and a request that has arrived behind this one is dropped.
// It has no effect once the response header was sent.
func (x *Exchange) DisableKeepAlive() {
	x.isLast = true
}

// IsFollowed reports whether another request waits on the connection for the end of this
// exchange.
func (x *Exchange) IsFollowed() bool {
	return x.state.isFollowed(x)
}

// IsStreaming reports whether StartStream was called.
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
		Close:      x.isLast,
	}
}

func (x *Exchange) send(res *http.Response) error {
	var out bytes.Buffer
	if err := res.Write(&out); err != nil {
		return &DisconnectedError{Err: err}
	}
	return x.write(out.Bytes())
}

// sendHead sends the status and the header of a response as they are.
func (x *Exchange) sendHead(res *http.Response) error {
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 " + strconv.Itoa(res.StatusCode) + " " + http.StatusText(res.StatusCode) + "\r\n")
	if res.Close {
		res.Header.Set("Connection", "close")
	}
	if err := res.Header.Write(&head); err != nil {
		return &DisconnectedError{Err: err}
	}
	head.WriteString("\r\n")
	return x.write(head.Bytes())
}

func (x *Exchange) write(p []byte) error {
	if _, err := x.conn.Write(p); err != nil {
		return &DisconnectedError{Err: err}
	}
	return nil
}

// finish releases the connection for its next request. After the last response
// it waits for the client to close the connection: if the server closed it here
// while the poller still holds an event of its descriptor, that event would close
// the next connection that reuses the descriptor.
func (x *Exchange) finish() {
	wait := x.idleTimeout
	if x.isLast {
		wait = lingerTimeout
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(wait))
	x.state.release(x)
}
