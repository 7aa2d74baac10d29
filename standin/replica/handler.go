package replica

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// handler passes the calls of a host to its Replica. It implements host.Behavior.
type handler struct {
	replica *Replica
}

// Serve implements host.Behavior.
func (h *handler) Serve(c *host.Call) { h.replica.serve(c) }

// Refuse implements host.Behavior.
func (*handler) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusServiceUnavailable, host.FailureNotRun)
}

// Gone implements host.Behavior.
func (h *handler) Gone(c *host.Call) {
	h.replica.callersGone++
	h.replica.gone[c] = true
}
