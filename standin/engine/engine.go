package engine

import (
	"net/http"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// Engine is a model engine.
type Engine struct {
	*host.Host
	config    Config
	records   *records
	events    *eventLog
	scheduler *scheduler
	weights   *weights
	kv        *kvStore
	submitted uint64
}

// New makes an engine; Open starts it.
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
		weights:   newWeights(config, h),
		kv:        newKVStore(),
	}
}

// Open listens. Run is the duty.
func (e *Engine) Open() error { return e.Host.Open(&behavior{engine: e}) }

func (e *Engine) order(c *host.Call) {
	var order Order
	if !c.Decode(&order) {
		return
	}
	last := e.weights.fencing
	if !e.weights.order(order) {
		c.ReplyJSON(http.StatusConflict, host.Failure{Error: host.FailureDetail{
			Type:    FailureStale,
			Message: "a newer order was taken",
			Last:    last,
		}})
		return
	}
	c.ReplyJSON(http.StatusOK, e.weights.state())
}

func (e *Engine) cacheEvents(c *host.Call) {
	seq, ok := c.QueryNumber("after")
	if !ok {
		return
	}
	c.ReplyJSON(http.StatusOK, e.events.after(seq))
}

func (e *Engine) witness(c *host.Call) {
	c.ReplyJSON(http.StatusOK, Witness{
		Requests: append([]*RequestWitness{}, e.records.requests...),
		Orders:   append([]OrderWitness{}, e.weights.orders...),
	})
}
