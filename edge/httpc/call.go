package httpc

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// headSizeHint is the capacity reserved for the request line and the header, in
// bytes.
const headSizeHint = 1 << 10

// framingFields holds the header fields that encode controls. Values for them in
// Call.Header are ignored.
var framingFields = map[string]bool{
	"Host":              true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Trailer":           true,
}

// Call is one request and the Sink that receives its response. The caller must
// not modify it after Client.Start.
type Call struct {
	// Address is the IP and port of the server.
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the path and the query, already escaped. It is sent unchanged.
	Path string
	// Host is the value of the Host field. Empty means Address.
	Host string
	// Header holds additional request header fields; it may be nil.
	Header http.Header
	// Body is the complete request body.
	Body []byte
	// Timeout bounds the time from writing the request to the last byte of the
	// response; 0 means no limit. Establishing a connection has a limit of its
	// own, Config.ConnectTimeout.
	Timeout time.Duration
	// NotAfter is the instant from which the request is no longer sent; 0 means
	// no limit. A call that reaches it unsent fails with a *NotSentError.
	NotAfter clock.Instant
	// EchoHeader names a request header field that the response must repeat with
	// the same value, the ID of the call; empty means none. A response without that
	// value belongs to another request: the call fails, and the connection is closed.
	// No connection carries two calls with the same ID.
	EchoHeader string
	// Exclusive sends the request over a new connection, which is closed after the
	// response. So the server can't send, before the response, anything that it owes
	// to another call; see EchoHeader for servers that name the request.
	Exclusive bool
	// Sink receives the response.
	Sink Sink
	// OnSent is called on the client's thread right before the request is written, and
	// once more if that is tried on another connection. It must not block; nil is allowed.
	OnSent func(Sent)

	// The client's thread owns the fields below. skipped is Sent.Skipped.
	conn     *connection
	canceled bool
	skipped  int
}

// id returns the value that the response must repeat, as encode writes it: without white
// space around it. The result is false if the response need not repeat any.
func (c *Call) id() (string, bool) {
	if c.EchoHeader == "" {
		return "", false
	}
	return textproto.TrimString(c.Header.Get(c.EchoHeader)), true
}

// encode returns the request in wire format.
func (c *Call) encode() ([]byte, error) {
	if !isRequestTarget(c.Path) {
		return nil, &InvalidTargetError{Target: c.Path}
	}
	host := c.Host
	if host == "" {
		host = c.Address
	}
	var out bytes.Buffer
	out.Grow(len(c.Body) + headSizeHint)
	out.WriteString(c.Method + " " + c.Path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if err := c.Header.WriteSubset(&out, framingFields); err != nil {
		return nil, err
	}
	if len(c.Body) > 0 || c.Method != http.MethodGet {
		out.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(c.Body)
	return out.Bytes(), nil
}

// isRequestTarget reports whether a path is valid in a request line.
func isRequestTarget(path string) bool {
	if !strings.HasPrefix(path, "/") {
		return false
	}
	for i := range len(path) {
		if path[i] <= ' ' || path[i] == 0x7f {
			return false
		}
	}
	return true
}
