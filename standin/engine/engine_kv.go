package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

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
