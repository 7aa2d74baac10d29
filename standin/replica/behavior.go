package replica

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// behavior answers the calls of a Replica. It implements host.Behavior.
type behavior struct {
	replica *Replica
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) { b.replica.serve(c) }

// Refuse implements host.Behavior.
func (*behavior) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusServiceUnavailable, host.FailureNotRun)
}

// Gone implements host.Behavior.
func (b *behavior) Gone(c *host.Call) {
	b.replica.left++
	b.replica.gone[c] = true
}
