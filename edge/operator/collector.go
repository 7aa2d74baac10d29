package operator

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
)

// collector collects a response and offers it to a ring when it is complete. It
// implements httpc.Sink.
type collector struct {
	status int
	body   []byte
	done   *ring.Ring[reply]
}

// Head implements httpc.Sink.
func (c *collector) Head(status int, _ http.Header) { c.status = status }

// Body implements httpc.Sink.
func (c *collector) Body(p []byte) error {
	c.body = append(c.body, p...)
	return nil
}

// Done implements httpc.Sink.
func (c *collector) Done() { _ = c.done.Offer(reply{status: c.status, body: c.body}) }

// Failed implements httpc.Sink.
func (c *collector) Failed(err error) { _ = c.done.Offer(reply{err: err}) }
