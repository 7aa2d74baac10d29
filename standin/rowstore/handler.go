package rowstore

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// handler routes the calls of a host to its Store. It implements host.Behavior.
type handler struct {
	store *Store
}

// Serve implements host.Behavior.
func (h *handler) Serve(c *host.Call) {
	switch c.Method + " " + c.Path {
	case "POST /-/rows-tx":
		h.store.transact(c)
	case "GET /-/rows-get":
		h.store.get(c)
	case "GET /-/rows-feed":
		h.store.feed(c)
	default:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	}
}

// Refuse implements host.Behavior.
func (*handler) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusTooManyRequests, host.FailureThrottled)
}

// Gone implements host.Behavior.
func (*handler) Gone(*host.Call) {}
