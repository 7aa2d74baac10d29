package engine

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// Engine is a stand-in engine: an HTTP server and the one thread that serves
// its calls. All fields belong to that thread.
type Engine struct {
	*host.Host
	config    Config
	records   *records
	events    *eventLog
	scheduler *scheduler
	models    *modelManager
	kvStore   *kvStore
	received  uint64
}

// New returns an engine that is not listening yet; see Open.
func New(config Config) *Engine {
	config = config.withDefaults()
	h := host.New(host.Config{Name: config.Name, Address: config.Address, MaxBodyBytes: maxBodyBytes})
	events := newEventLog(config, h.Now)
	records := newRecords()
	return &Engine{
		Host:      h,
		config:    config,
		records:   records,
		events:    events,
		scheduler: newScheduler(config, h, records, newCache(config.CacheBlocks, events)),
		models:    newModelManager(config, h),
		kvStore:   newKVStore(),
	}
}

// Open starts to listen. Calls are served once Run is called.
func (e *Engine) Open() error { return e.Host.Open(&handler{engine: e}) }

// applyOrder serves POST /v1/orders. It replies 409 with the last fencing
// number when the order is stale.
func (e *Engine) applyOrder(c *host.Call) {
	var order Order
	if !c.Decode(&order) {
		return
	}
	last := e.models.lastFencing
	if !e.models.applyOrder(order) {
		c.ReplyJSON(http.StatusConflict, host.Failure{Error: host.FailureDetail{
			Type:    FailureStaleFencing,
			Message: "a newer order was taken",
			Last:    last,
		}})
		return
	}
	c.ReplyJSON(http.StatusOK, e.models.state())
}

// cacheEvents serves GET /v1/cache/events.
func (e *Engine) cacheEvents(c *host.Call) {
	seq, ok := c.QueryNumber("after")
	if !ok {
		return
	}
	c.ReplyJSON(http.StatusOK, e.events.after(seq))
}

// auditLog serves GET /standin/runs.
func (e *Engine) auditLog(c *host.Call) {
	c.ReplyJSON(http.StatusOK, AuditLog{
		Requests: append([]*RequestRecord{}, e.records.requests...),
		Orders:   append([]OrderRecord{}, e.models.orders...),
	})
}
