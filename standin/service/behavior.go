package service

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// behavior answers the calls of a Service. It implements host.Behavior.
type behavior struct {
	service *Service
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) {
	switch {
	case c.Path == pathRuns:
		c.ReplyJSON(http.StatusOK, b.service.witness())
	case strings.HasPrefix(c.Path, host.ControlPrefix):
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	default:
		b.service.run(c)
	}
}

// Refuse implements host.Behavior.
func (*behavior) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusServiceUnavailable, host.FailureNotRun)
}

// Gone implements host.Behavior.
func (*behavior) Gone(*host.Call) {}
