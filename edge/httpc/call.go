package httpc

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// headRoom is the usual size of the head of a request, in bytes.
const headRoom = 1 << 10

// framing holds the fields that the call itself writes.
var framing = map[string]bool{
	"Host":              true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Trailer":           true,
}

// Call is one request and the sink of its answer. It is made by its owner and
// not changed after Client.Start.
type Call struct {
	// Address is the IP and port of the server.
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the path with the query, as it goes on the wire.
	Path string
	// Host is the Host field; empty takes the address.
	Host string
	// Header holds further fields of the request; it may be nil.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Timeout bounds the call up to its last byte; 0 is no bound.
	Timeout time.Duration
	// NotAfter is the instant from which the first byte is not sent any more;
	// 0 is no bound. A call that is too late fails with a *NotSentError.
	NotAfter clock.Instant
	// Echo names a field of the request whose value the answer must repeat;
	// empty for none. An answer without it belongs to another request: the call
	// breaks off, and the connection is not used again.
	Echo string
	// Sink receives the answer.
	Sink Sink

	// conn and canceled are owned by the duty of the client.
	conn     *connection
	canceled bool
}

// encode returns the bytes of the request. The path goes out as it is.
func (c *Call) encode() ([]byte, error) {
	if !isTarget(c.Path) {
		return nil, &TargetError{Target: c.Path}
	}
	host := c.Host
	if host == "" {
		host = c.Address
	}
	var out bytes.Buffer
	out.Grow(len(c.Body) + headRoom)
	out.WriteString(c.Method + " " + c.Path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if err := c.Header.WriteSubset(&out, framing); err != nil {
		return nil, err
	}
	if len(c.Body) > 0 || c.Method != http.MethodGet {
		out.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(c.Body)
	return out.Bytes(), nil
}

// isTarget reports whether a path can stand in a request line.
func isTarget(path string) bool {
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
