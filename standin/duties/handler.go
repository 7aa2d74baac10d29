package duties

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// handler routes the calls of an API. It implements host.Behavior.
type handler struct {
	api *API
}

// Serve implements host.Behavior.
func (h *handler) Serve(c *host.Call) {
	switch c.Method + " " + c.Path {
	case "POST /usage", "POST /scale":
		h.api.handleCall(c)
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
