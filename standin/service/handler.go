package service

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// handler routes the calls of a host to its Service. It implements host.Behavior.
type handler struct {
	service *Service
}

// Serve implements host.Behavior.
func (h *handler) Serve(c *host.Call) {
	switch {
	case c.Path == auditLogPath:
		c.ReplyJSON(http.StatusOK, h.service.auditLog())
	case strings.HasPrefix(c.Path, host.ControlPrefix):
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	default:
		h.service.run(c)
	}
}

// Refuse implements host.Behavior.
func (*handler) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusServiceUnavailable, host.FailureNotRun)
}

// Gone implements host.Behavior.
func (*handler) Gone(*host.Call) {}
