package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

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
