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
	pathEvents      = "/v1/cache/events"
	pathExport      = "/v1/kv/export"
	pathImport      = "/v1/kv/import"
	pathRuns        = host.ControlPrefix + "runs"
)

// behavior routes the calls of an Engine. It implements host.Behavior.
type behavior struct {
	engine *Engine
}

// Serve implements host.Behavior.
func (b *behavior) Serve(c *host.Call) {
	if id, ok := strings.CutPrefix(c.Path, pathCompletions+"/"); ok {
		b.request(c, id)
		return
	}
	switch c.Method + " " + c.Path {
	case "POST " + pathCompletions:
		b.engine.complete(c)
	case "GET " + pathLoad:
		c.ReplyJSON(http.StatusOK, b.engine.scheduler.load())
	case "GET " + pathState:
		c.ReplyJSON(http.StatusOK, b.engine.weights.state())
	case "POST " + pathOrders:
		b.engine.order(c)
	case "GET " + pathEvents:
		b.engine.cacheEvents(c)
	case "POST " + pathExport:
		b.engine.exportKV(c)
	case "POST " + pathImport:
		b.engine.importKV(c)
	case "GET " + pathRuns:
		b.engine.witness(c)
	default:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such path")
	}
}

func (b *behavior) request(c *host.Call, id string) {
	switch c.Method {
	case http.MethodDelete:
		b.engine.cancel(c, id)
	case http.MethodGet:
		b.engine.reattach(c, id)
	default:
		c.Fail(http.StatusMethodNotAllowed, host.FailureInvalid, "use GET or DELETE")
	}
}

// Refuse implements host.Behavior.
func (*behavior) Refuse(c *host.Call, reason host.Refusal) {
	c.FailRefused(reason, http.StatusServiceUnavailable, host.FailureNotRun)
}

// Gone implements host.Behavior.
func (b *behavior) Gone(c *host.Call) { b.engine.gone(c) }
