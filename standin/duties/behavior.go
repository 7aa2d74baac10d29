package duties

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// behavior answers the calls of Duties. It implements host.Behavior.
type behavior struct {
	duties *Duties
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) {
	switch c.Method + " " + c.Path {
	case "POST /usage", "POST /scale":
		b.duties.take(c)
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
