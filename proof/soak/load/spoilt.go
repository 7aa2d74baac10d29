package load

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/requester"
)

const (
	// spoiltEvery is one in how many requests a caller sends a spoilt one before.
	spoiltEvery = 16
	// spoiltPatience is how long a caller reads what comes of a spoilt request.
	spoiltPatience = 200 * time.Millisecond
)

// spoiltHead is a way to spoil the length of a request, so that a lenient reader takes the
// rest of its body for another request.
type spoiltHead struct {
	// version is that of the request line.
	version string
	// fields are the lines about the length, in which %d is the length of the body.
	fields string
	// begin is the part of the body before the other request.
	begin string
}

// spoiltHeads are heads and bodies that RFC 9112 lets no server accept.
var spoiltHeads = []spoiltHead{
	{"1.1", "Content-Length: 4\r\nContent-Length: %d\r\n", "body"},
	{"1.1", "Transfer-Encoding : chunked\r\nContent-Length: %d\r\n", "0\r\n\r\n"},
	{"1.1", "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
	{"1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
	{"1.1", "Transfer-Encoding: chunked\r\n", "0 x\r\n\r\n"},
	{"1.1", "Content-Length: -0\r\nX-Length: %d\r\n", ""},
	{"1.1", "Content-Length:\r\n 4\r\nX-Length: %d\r\n", ""},
}

// sendSpoilt sends a spoilt request with another one in its body, neither of which is to
// run. It uses a connection of its own, and the IDs are in no record.
func (c *caller) sendSpoilt(n int, address string) {
	conn, err := net.DialTimeout("tcp", address, spoiltPatience)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := spoiltHeads[c.spoils.IntN(len(spoiltHeads))]
	id := fmt.Sprintf("spoilt-%x-%x-%x", c.config.Seed, c.number, n)
	body := head.begin + c.requestText("1.1", id+"-inner", "Content-Length: 1\r\n", "x")
	fields := head.fields
	if strings.Contains(fields, "%d") {
		fields = fmt.Sprintf(fields, len(body))
	}
	_ = conn.SetDeadline(time.Now().Add(spoiltPatience))
	if _, err := io.WriteString(conn, c.requestText(head.version, id, fields, body)); err != nil {
		return
	}
	// A lenient server would read the other request after the response to the first.
	_, _ = io.Copy(io.Discard, conn)
}

// requestText is the text of a request that may run once at most.
func (c *caller) requestText(version, id, fields, body string) string {
	header := http.Header{}
	requester.RequestHeader{ID: id, Credential: c.config.Credential, Timeout: spoiltPatience}.SetHeader(header)
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "POST /%s/%s HTTP/%s\r\nHost: %s\r\n", Once, id, version, c.config.Host)
	_ = header.Write(&text)
	return text.String() + fields + "\r\n" + body
}
