package weights

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// pathPrefix begins the path of the weights.
const pathPrefix = "/weights/"

// behavior routes the calls of a Weights. It implements host.Behavior.
type behavior struct {
	weights *Weights
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) {
	rest, ok := strings.CutPrefix(c.Path, pathPrefix)
	model, version, whole := strings.Cut(rest, "/")
	if !ok || !whole || model == "" || version == "" || c.Method != http.MethodGet {
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
		return
	}
	if !b.weights.calls.Take(1, b.weights.Now()) {
		b.Refuse(c, host.Throttled)
		return
	}
	b.weights.read(c, model, version)
}

// Refuse implements host.Behavior.
func (*behavior) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusTooManyRequests, host.FailureThrottled)
}

// Gone implements host.Behavior.
func (*behavior) Gone(*host.Call) {}
