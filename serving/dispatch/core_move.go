package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// Exported takes the KV cache of an attempt that was stopped. The request goes
// on at another upstream with it.
func (c *Core) Exported(ref Ref, cache []byte, now clock.Instant) {
	e := c.current(ref)
	if e == nil || !e.isExporting {
		return
	}
	e.isExporting = false
	e.cache = cache
	c.counts.Exported++
	c.leaveAttempt(e, now)
	c.pump(now)
}

// ExportFailed takes the failure of an export. An attempt that surely was not
// stopped goes on; any other is taken up again or tried elsewhere.
func (c *Core) ExportFailed(ref Ref, failure Failure, now clock.Instant) {
	e := c.current(ref)
	if e == nil || !e.isExporting {
		return
	}
	e.isExporting = false
	c.note(ExportFailed, e, failure.Detail)
	switch {
	case e.isStreamLost:
		c.Failed(ref, Failure{Kind: Broken, Detail: "the stream ended during an export"}, now)
	case e.request.Idempotent:
		c.recompute(e, now)
		c.pump(now)
	}
}

// Imported takes an upstream's handle for KV cache. The attempt starts with it.
func (c *Core) Imported(ref Ref, handle string, now clock.Instant) {
	e := c.current(ref)
	if e == nil || !e.isImporting {
		return
	}
	e.isImporting = false
	e.cache = nil
	c.counts.Imported++
	c.send(e, handle, 0, now)
}

// ImportFailed takes the failure of an import. An idempotent request starts
// without the cache; any other needs it, so another upstream is tried.
func (c *Core) ImportFailed(ref Ref, failure Failure, now clock.Instant) {
	e := c.current(ref)
	if e == nil || !e.isImporting {
		return
	}
	e.isImporting = false
	c.note(ImportFailed, e, failure.Detail)
	if e.request.Idempotent {
		e.cache = nil
		c.countRecomputed(e)
		c.send(e, "", 0, now)
		return
	}
	c.endAttempt(e, Broken, now)
	c.retry(e, now)
}

// leaveUpstream moves the requests away that can't end in the time left.
func (c *Core) leaveUpstream(instance fleet.Instance, timeLeft func(fleet.Instance) (time.Duration, bool), now clock.Instant) {
	c.router.SetLeaving(instance.ID)
	left, known := timeLeft(instance)
	if !known {
		return
	}
	left -= c.cfg.LeaveMargin
	for _, e := range c.entries {
		if e.phase == phaseRunning && e.choice.ID == instance.ID && c.remaining(e, now) > left {
			c.move(e, left, now)
		}
	}
}

// remaining predicts how long a request still runs, from its own rate. Before
// its first token it is taken to need its whole deadline.
func (c *Core) remaining(e *entry, now clock.Instant) time.Duration {
	if !e.firstSeen || e.request.Call != nil {
		return e.deadline.Sub(now)
	}
	perToken := e.lastToken.Sub(e.sentAt) / time.Duration(max(e.log.Tokens(), 1))
	return perToken * time.Duration(max(e.request.MaxTokens-e.log.Tokens(), 0))
}

// move takes a request off its upstream: with its KV cache if it generates, by
// computing it again if it is idempotent. A call of a plain service and a
// non-idempotent request that does not generate yet stay where they are.
func (c *Core) move(e *entry, left time.Duration, now clock.Instant) {
	if e.request.Call != nil || e.isExporting || e.isImporting {
		return
	}
	if e.firstSeen && !c.cfg.WithoutExport {
		c.counts.Moved++
		c.note(AttemptMoved, e, "by export")
		e.isExporting = true
		c.do(Export{Ref: e.ref(), Address: e.choice.Address, Timeout: max(left, time.Second)})
		return
	}
	if e.request.Idempotent {
		c.counts.Moved++
		c.note(AttemptMoved, e, "by recomputing")
		c.recompute(e, now)
	}
}

// recompute stops an attempt and queues the request for another upstream, which
// computes the prompt and the tokens so far again.
func (c *Core) recompute(e *entry, now clock.Instant) {
	c.do(Abort{Ref: e.ref(), Address: e.choice.Address})
	e.mayHaveRun = true
	if e.firstSeen {
		c.countRecomputed(e)
	}
	c.leaveAttempt(e, now)
}

// leaveAttempt gives the place of an attempt back and queues the request.
func (c *Core) leaveAttempt(e *entry, now clock.Instant) {
	if e.started {
		e.started = false
		c.router.Failed(&e.choice, route.Canceled, now)
	}
	e.tried = append(e.tried, e.choice.ID)
	c.requeue(e, now)
}

// startWithCache gives the KV cache of a moved request to its next upstream.
func (c *Core) startWithCache(e *entry, now clock.Instant) {
	e.phase = phaseRunning
	e.sentAt = now
	e.lastToken = now
	e.isImporting = true
	c.do(Import{Ref: e.ref(), Address: e.choice.Address, Cache: e.cache, Timeout: e.deadline.Sub(now)})
}

// countRecomputed counts what an upstream computes again when it goes on with
// an answer that another began.
func (c *Core) countRecomputed(e *entry) {
	tokens := prefix.Tokens(e.request.Prompt) + e.log.Tokens()
	e.recomputed += tokens
	c.counts.RecomputedTokens += uint64(tokens)
}

// isContinued reports whether a non-idempotent request was begun before and
// goes on with its KV cache, so that it needs no further record.
func (e *entry) isContinued() bool {
	return e.claim != nil && e.claim.IsSent()
}

// endExported ends a request whose cache found no upstream.
func (c *Core) endExported(e *entry, now clock.Instant) {
	c.loseClaim(e)
	c.endUnknown(e, request.UpstreamFailed, "no upstream took the request over", now)
}
