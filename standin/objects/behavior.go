package objects

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// behavior routes the calls of an Objects. It implements host.Behavior.
type behavior struct {
	objects *Objects
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) {
	if !b.objects.calls.Take(1, b.objects.Now()) {
		b.Refuse(c, host.Throttled)
		return
	}
	bucket, key, _ := strings.Cut(strings.TrimPrefix(c.Path, "/"), "/")
	if bucket != b.objects.config.Bucket {
		fail(c, http.StatusNotFound, codeNoBucket)
		return
	}
	switch {
	case key == "" && c.Method == http.MethodGet:
		b.objects.list(c)
	case key == "":
		fail(c, http.StatusMethodNotAllowed, codeMethod)
	case c.Method == http.MethodGet, c.Method == http.MethodHead:
		b.objects.get(c, key)
	case c.Method == http.MethodPut:
		b.objects.put(c, key)
	case c.Method == http.MethodDelete:
		b.objects.remove(c, key)
	default:
		fail(c, http.StatusMethodNotAllowed, codeMethod)
	}
}

// Refuse implements host.Behavior.
func (*behavior) Refuse(c *host.Call, reason host.Refusal) {
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
func (*behavior) Gone(*host.Call) {}
