package engine

import (
	"net/http"
	"strconv"
	"strings"
	"time"

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

func (e *Engine) complete(c *host.Call) {
	var request Request
	if !c.Decode(&request) || !e.accepts(c, &request) {
		return
	}
	next := newRun(request, e.submitted)
	if next.reserve() > e.config.KVTokens {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, "the request needs more tokens than the engine holds")
		return
	}
	if request.KVHandle != "" {
		tokens, ok := e.kv.take(request)
		if !ok {
			c.Fail(http.StatusBadRequest, FailureUnknownHandle, "no such KV cache for this prompt")
			return
		}
		next.kv = min(tokens, len(next.context))
	}
	next.attach(c, request.ResumeFrom)
	e.scheduler.submit(next)
}

// accepts checks a request, gives it an id, and answers it when it is not run.
func (e *Engine) accepts(c *host.Call, request *Request) bool {
	e.submitted++
	if request.RequestID == "" {
		request.RequestID = "request-" + strconv.FormatUint(e.submitted, 10)
	}
	if !request.Stream || request.MaxTokens < 1 || request.ResumeFrom < 0 || !resumeMatches(request) {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, "stream must be true, max_tokens positive, and resume_text of resume_from tokens")
		return false
	}
	switch {
	case e.Faults().RefuseStart:
		c.Fail(http.StatusServiceUnavailable, host.FailureNotRun, "new requests are refused")
	case !e.weights.isLoaded(request.Model) && e.weights.isLoading(request.Model):
		c.Fail(http.StatusServiceUnavailable, host.FailureNotRun, "the model is loading")
	case !e.weights.isLoaded(request.Model):
		c.Fail(http.StatusBadRequest, FailureUnknownModel, "no such model here")
	case !e.weights.hasAdapter(request.Adapter):
		c.Fail(http.StatusBadRequest, FailureUnknownAdapter, "no such adapter here")
	case e.scheduler.isFull():
		c.Fail(http.StatusServiceUnavailable, host.FailureNotRun, "the queue is full")
	default:
		return true
	}
	return false
}

func resumeMatches(request *Request) bool {
	return len(strings.Fields(request.ResumeText)) == request.ResumeFrom
}

func (e *Engine) cancel(c *host.Call, id string) {
	r := e.records.latest[id]
	if r == nil {
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such request")
		return
	}
	e.scheduler.end(r, PhaseCanceled)
	c.ReplyJSON(http.StatusOK, Canceled{
		RequestID:  id,
		Phase:      r.phase,
		Started:    r.witness.Started,
		TokensSent: r.next,
	})
}

func (e *Engine) reattach(c *host.Call, id string) {
	r := e.records.latest[id]
	if r == nil {
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such request")
		return
	}
	number, ok := c.QueryNumber("from")
	if !ok {
		return
	}
	from := int(number)
	if from < r.request.ResumeFrom || from > r.next {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, "from must be a token that was generated here, or the next one")
		return
	}
	r.attach(c, from)
}

// gone looks for the run whose caller has gone.
func (e *Engine) gone(c *host.Call) {
	for _, r := range e.records.latest {
		if r.detach(c) {
			e.scheduler.detached(r)
		}
	}
}

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

func (e *Engine) exportKV(c *host.Call) {
	var request ExportRequest
	if !c.Decode(&request) {
		return
	}
	r := e.records.latest[request.RequestID]
	switch {
	case r == nil:
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such request")
		return
	case r.phase != PhaseDecode:
		c.Fail(http.StatusConflict, FailureNoCache, "the request does not generate")
		return
	}
	k := &kvCache{Model: r.request.Model, Adapter: r.request.Adapter, Seed: r.seed, Tokens: r.tokens()}
	blob, err := k.encode()
	if err != nil {
		c.Fail(http.StatusInternalServerError, host.FailureInternal, err.Error())
		return
	}
	e.scheduler.end(r, PhaseExported)
	header := http.Header{
		"Content-Type":    {"application/octet-stream"},
		"X-Token-Count":   {strconv.Itoa(k.Tokens)},
		"X-Answer-Tokens": {strconv.Itoa(r.next)},
	}
	e.After(e.transferTime(k), func() { c.Reply(http.StatusOK, header, blob) })
}

func (e *Engine) importKV(c *host.Call) {
	k, err := decodeKVCache(c.Body)
	if err != nil {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, err.Error())
		return
	}
	e.After(e.transferTime(k), func() {
		handle := e.kv.add(k)
		e.After(defaultHandleExpiry, func() { e.kv.remove(handle) })
		c.ReplyJSON(http.StatusOK, Imported{KVHandle: handle, Tokens: k.Tokens})
	})
}

func (e *Engine) transferTime(k *kvCache) time.Duration {
	return time.Duration(k.Tokens) * e.config.KVTokenTime
}

func (e *Engine) witness(c *host.Call) {
	c.ReplyJSON(http.StatusOK, Witness{
		Requests: append([]*RequestWitness{}, e.records.requests...),
		Orders:   append([]OrderWitness{}, e.weights.orders...),
	})
}
