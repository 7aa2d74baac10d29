package weights

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// pathPrefix is the path prefix of all weights.
const pathPrefix = "/weights/"

// handler routes the calls of a host to its Store. It implements host.Behavior.
type handler struct {
	store *Store
}

// Serve implements host.Behavior.
func (h *handler) Serve(c *host.Call) {
	rest, ok := strings.CutPrefix(c.Path, pathPrefix)
	model, version, hasVersion := strings.Cut(rest, "/")
	if !ok || !hasVersion || model == "" || version == "" || c.Method != http.MethodGet {
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
		return
	}
	if !h.store.callBucket.Take(1, h.store.Now()) {
		h.Refuse(c, host.Throttled)
		return
	}
	h.store.sendManifest(c, model, version)
}

// Refuse implements host.Behavior.
func (*handler) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusTooManyRequests, host.FailureThrottled)
}

// Gone implements host.Behavior.
func (*handler) Gone(*host.Call) {}
