package httpc

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Call is one request and the sink of its answer. It is made by its owner and
// not changed after Client.Start.
type Call struct {
	// Address is the IP and port of the server.
	Address string
	// Method is the HTTP method.
	Method string
	// Path is the path with the query, as it goes on the wire.
	Path string
	// Header holds further fields of the request; it may be nil.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Timeout bounds the call up to its last byte; 0 is no bound.
	Timeout time.Duration
	// NotAfter is the instant from which the first byte is not sent any more;
	// 0 is no bound. A call that is too late fails with a *NotSentError.
	NotAfter clock.Instant
	// Sink receives the answer.
	Sink Sink

	// conn and canceled are owned by the duty of the client.
	conn     *connection
	canceled bool
}

func (c *Call) encode() ([]byte, error) {
	target, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return nil, err
	}
	header := c.Header
	if header == nil {
		header = http.Header{}
	}
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "sycamorecourse")
	}
	request := http.Request{
		Method:        c.Method,
		URL:           target,
		Host:          c.Address,
		Header:        header,
		ContentLength: int64(len(c.Body)),
		Body:          io.NopCloser(bytes.NewReader(c.Body)),
	}
	var out bytes.Buffer
	if err := request.Write(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
