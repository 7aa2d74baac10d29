package engine

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// complete serves POST /v1/completions.
func (e *Engine) complete(c *host.Call) {
	var request Request
	if !c.Decode(&request) || !e.admit(c, &request) {
		return
	}
	r := newRun(request, e.received)
	if r.maxKVTokens() > e.config.KVTokens {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, "the request needs more tokens than the engine holds")
		return
	}
	if request.KVHandle != "" {
		tokens, ok := e.kvStore.take(request)
		if !ok {
			c.Fail(http.StatusBadRequest, FailureUnknownHandle, "no such KV cache for this prompt")
			return
		}
		r.importedTokens = min(tokens, len(r.contextTokens))
	}
	r.attach(c, request.ResumeFrom)
	e.scheduler.submit(r)
}

// admit assigns a missing request ID and validates the request. When the
// request can't run, it replies with the reason and returns false.
func (e *Engine) admit(c *host.Call, request *Request) bool {
	e.received++
	if request.RequestID == "" {
		request.RequestID = "request-" + strconv.FormatUint(e.received, 10)
	}
	if !request.Stream || request.MaxTokens < 1 || request.ResumeFrom < 0 || !resumeLengthMatches(request) {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, "stream must be true, max_tokens positive, and resume_text of resume_from tokens")
		return false
	}
	switch {
	case e.Faults().RefuseStart:
		c.Fail(http.StatusServiceUnavailable, host.FailureNotRun, "new requests are refused")
	case !e.models.isLoaded(request.Model) && e.models.isLoading(request.Model):
		c.Fail(http.StatusServiceUnavailable, host.FailureNotRun, "the model is loading")
	case !e.models.isLoaded(request.Model):
		c.Fail(http.StatusBadRequest, FailureUnknownModel, "no such model here")
	case !e.models.hasAdapter(request.Adapter):
		c.Fail(http.StatusBadRequest, FailureUnknownAdapter, "no such adapter here")
	case e.scheduler.isFull():
		c.Fail(http.StatusServiceUnavailable, host.FailureNotRun, "the queue is full")
	default:
		return true
	}
	return false
}

func resumeLengthMatches(request *Request) bool {
	return len(strings.Fields(request.ResumeText)) == request.ResumeFrom
}

// cancel serves DELETE /v1/completions/{request_id}.
func (e *Engine) cancel(c *host.Call, id string) {
	r := e.records.latest[id]
	if r == nil {
		c.Fail(http.StatusNotFound, host.FailureNotFound, "no such request")
		return
	}
	e.scheduler.end(r, PhaseCanceled)
	c.ReplyJSON(http.StatusOK, CancelResponse{
		RequestID:  id,
		Phase:      r.phase,
		Started:    r.record.Started,
		TokensSent: r.nextToken,
	})
}

// reattach serves GET /v1/completions/{request_id}: it streams a request again
// from a given token.
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
	if from < r.request.ResumeFrom || from > r.nextToken {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, "from must be a token that was generated here, or the next one")
		return
	}
	r.attach(c, from)
}

// handleDisconnect detaches a caller that disconnected from its run. The last
// one to leave starts the abandon timeout.
func (e *Engine) handleDisconnect(c *host.Call) {
	for _, r := range e.records.latest {
		if r.detach(c) {
			e.scheduler.scheduleAbandon(r)
		}
	}
}
