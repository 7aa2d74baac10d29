package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// exportKV serves POST /v1/kv/export. It ends the request here, so that it can
// resume on the engine that imports the KV cache.
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
		c.Fail(http.StatusConflict, FailureNoKVCache, "the request does not generate")
		return
	}
	k := &kvCache{Model: r.request.Model, Adapter: r.request.Adapter, Seed: r.seed, Tokens: r.kvTokens()}
	blob, err := k.encode()
	if err != nil {
		c.Fail(http.StatusInternalServerError, host.FailureInternal, err.Error())
		return
	}
	e.scheduler.end(r, PhaseExported)
	header := http.Header{
		"Content-Type":    {"application/octet-stream"},
		"X-Token-Count":   {strconv.Itoa(k.Tokens)},
		"X-Answer-Tokens": {strconv.Itoa(r.nextToken)},
	}
	e.After(e.kvTransferTime(k), func() { c.Reply(http.StatusOK, header, blob) })
}

// importKV serves POST /v1/kv/import. The handle that it returns expires after
// kvHandleLifetime.
func (e *Engine) importKV(c *host.Call) {
	k, err := decodeKVCache(c.Body)
	if err != nil {
		c.Fail(http.StatusBadRequest, host.FailureInvalid, err.Error())
		return
	}
	e.After(e.kvTransferTime(k), func() {
		handle := e.kvStore.add(k)
		e.After(kvHandleLifetime, func() { e.kvStore.remove(handle) })
		c.ReplyJSON(http.StatusOK, ImportResponse{KVHandle: handle, Tokens: k.Tokens})
	})
}

func (e *Engine) kvTransferTime(k *kvCache) time.Duration {
	return time.Duration(k.Tokens) * e.config.KVTokenTime
}
