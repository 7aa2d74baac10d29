package rowstore

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// behavior answers the calls of a Store. It implements host.Behavior.
type behavior struct {
	store *Store
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) {
	switch c.Method + " " + c.Path {
	case "POST /-/rows-tx":
		b.store.transact(c)
	case "GET /-/rows-get":
		b.store.get(c)
	case "GET /-/rows-feed":
		b.store.feed(c)
	default:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	}
}

// Refuse implements host.Behavior.
func (*behavior) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusTooManyRequests, host.FailureThrottled)
}

// Gone implements host.Behavior.
func (*behavior) Gone(*host.Call) {}
