package engine

import (
	"net/http"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// The paths of the engine.
const (
	pathCompletions = "/v1/completions"
	pathLoad        = "/v1/load"
	pathState       = "/v1/state"
	pathOrders      = "/v1/orders"
	pathCacheEvents = "/v1/cache/events"
	pathExport      = "/v1/kv/export"
	pathImport      = "/v1/kv/import"
	pathAuditLog    = host.ControlPrefix + "runs"
)

// handler routes the calls of an Engine. It implements host.Behavior.
type handler struct {
	engine *Engine
}

// Serve implements host.Behavior.
func (h *handler) Serve(c *host.Call) {
	if id, ok := strings.CutPrefix(c.Path, pathCompletions+"/"); ok {
		h.request(c, id)
		return
	}
	switch c.Method + " " + c.Path {
	case "POST " + pathCompletions:
		h.engine.complete(c)
	case "GET " + pathLoad:
		c.ReplyJSON(http.StatusOK, h.engine.scheduler.load())
	case "GET " + pathState:
		c.ReplyJSON(http.StatusOK, h.engine.models.state())
	case "POST " + pathOrders:
		h.engine.applyOrder(c)
	case "GET " + pathCacheEvents:
		h.engine.cacheEvents(c)
	case "POST " + pathExport:
		h.engine.exportKV(c)
	case "POST " + pathImport:
		h.engine.importKV(c)
	case "GET " + pathAuditLog:
		h.engine.auditLog(c)
	default:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	}
}

func (h *handler) request(c *host.Call, id string) {
	switch c.Method {
	case http.MethodDelete:
		h.engine.cancel(c, id)
	case http.MethodGet:
		h.engine.reattach(c, id)
	default:
		c.Fail(http.StatusMethodNotAllowed, host.FailureInvalid, "use GET or DELETE")
	}
}

// Refuse implements host.Behavior.
func (*handler) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusServiceUnavailable, host.FailureNotRun)
}

// Gone implements host.Behavior.
func (h *handler) Gone(c *host.Call) { h.engine.handleDisconnect(c) }
