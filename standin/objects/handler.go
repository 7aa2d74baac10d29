package objects

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// handler routes the calls of a host to its Store. It implements host.Behavior.
type handler struct {
	store *Store
}

// Serve implements host.Behavior.
func (h *handler) Serve(c *host.Call) {
	if !h.store.callBucket.Take(1, h.store.Now()) {
		h.Refuse(c, host.Throttled)
		return
	}
	bucket, key, _ := strings.Cut(strings.TrimPrefix(c.Path, "/"), "/")
	if bucket != h.store.config.Bucket {
		fail(c, http.StatusNotFound, codeNoBucket)
		return
	}
	switch {
	case key == "" && c.Method == http.MethodGet:
		h.store.list(c)
	case key == "":
		fail(c, http.StatusMethodNotAllowed, codeMethod)
	case c.Method == http.MethodGet, c.Method == http.MethodHead:
		h.store.get(c, key)
	case c.Method == http.MethodPut:
		h.store.put(c, key)
	case c.Method == http.MethodDelete:
		h.store.remove(c, key)
	default:
		fail(c, http.StatusMethodNotAllowed, codeMethod)
	}
}

// Refuse implements host.Behavior.
func (*handler) Refuse(c *host.Call, reason host.Refusal) {
	switch reason {
	case host.Throttled:
		fail(c, http.StatusServiceUnavailable, codeSlowDown)
	case host.Failing:
		fail(c, http.StatusInternalServerError, codeInternal)
	default:
		fail(c, http.StatusServiceUnavailable, codeUnavailable)
	}
}

// Gone implements host.Behavior.
func (*handler) Gone(*host.Call) {}
