package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// Exported reports the KV cache of an attempt that the export has stopped. The
// request continues with it at another upstream.
func (c *Core) Exported(ref StreamRef, cache []byte, now clock.Instant) {
	e := c.currentEntry(ref)
	if e == nil || !e.isExporting {
		return
	}
	e.isExporting = false
	e.mayHaveRun = true
	e.kvCache = cache
	c.counts.Exported++
	c.requeueElsewhere(e, now)
	c.startQueued(now)
}

// ExportFailed reports a failed export. If the stream ended meanwhile, its
// attempt has failed. Otherwise an idempotent request is computed again at
// another upstream, and any other stays where it is.
func (c *Core) ExportFailed(ref StreamRef, failure Failure, now clock.Instant) {
	e := c.currentEntry(ref)
	if e == nil || !e.isExporting {
		return
	}
	e.isExporting = false
	c.emitEvent(ExportFailed, e, failure.Detail)
	switch {
	case e.isStreamLost:
		c.Failed(ref, Failure{Kind: Broken, Detail: "the stream ended during an export"}, now)
	case e.request.Idempotent:
		c.recompute(e, now)
		c.startQueued(now)
	}
}

// Imported reports an upstream's handle for an imported KV cache. The attempt
// starts with it.
func (c *Core) Imported(ref StreamRef, handle string, now clock.Instant) {
	e := c.currentEntry(ref)
	if e == nil || !e.isImporting {
		return
	}
	e.isImporting = false
	c.counts.Imported++
	c.send(e, handle, 0, now)
}

// ImportFailed reports a failed import. An idempotent request starts without the
// cache; any other needs it, so another upstream is tried.
func (c *Core) ImportFailed(ref StreamRef, failure Failure, now clock.Instant) {
	e := c.currentEntry(ref)
	if e == nil || !e.isImporting {
		return
	}
	e.isImporting = false
	c.emitEvent(ImportFailed, e, failure.Detail)
	if e.request.Idempotent {
		e.kvCache = nil
		c.countRecomputed(e)
		c.send(e, "", 0, now)
		return
	}
	c.failAttempt(e, Broken, now)
	c.retry(e, now)
}

// drainUpstream moves the requests away that are predicted not to end in the
// time that a leaving instance has left.
func (c *Core) drainUpstream(instance fleet.Instance, timeLeft func(fleet.Instance) (time.Duration, bool), now clock.Instant) {
	c.router.SetLeaving(instance.ID)
	left, known := timeLeft(instance)
	if !known {
		return
	}
	left -= c.cfg.MoveMargin
	for _, e := range c.entries {
		if e.phase == phaseRunning && e.choice.ID == instance.ID && c.predictRemaining(e, now) > left {
			c.move(e, left, now)
		}
	}
}

// predictRemaining predicts how long a request still runs from the rate of its
// tokens so far. Without a rate it assumes the whole time until the deadline.
func (c *Core) predictRemaining(e *entry, now clock.Instant) time.Duration {
	if !e.hasFirstToken || e.request.Call != nil {
		return e.deadline.Sub(now)
	}
	perToken := e.lastTokenAt.Sub(e.sentAt) / time.Duration(max(e.answer.Tokens(), 1))
	return perToken * time.Duration(max(e.request.MaxTokens-e.answer.Tokens(), 0))
}

// move moves a request away from its upstream: with its KV cache if it has a
// token, otherwise by computing it again if it is idempotent. A service call and
// a non-idempotent request that can't be exported stay where they are.
func (c *Core) move(e *entry, left time.Duration, now clock.Instant) {
	if e.request.Call != nil || e.isExporting || e.isImporting {
		return
	}
	if e.hasFirstToken && !c.cfg.DisableExport {
		c.counts.Moved++
		c.emitEvent(AttemptMoved, e, "by export")
		e.isExporting = true
		c.emit(Export{Ref: e.ref(), Address: e.choice.Address, Timeout: max(left, time.Second)})
		return
	}
	if e.request.Idempotent {
		c.counts.Moved++
		c.emitEvent(AttemptMoved, e, "by recomputing")
		c.recompute(e, now)
	}
}

// recompute stops an attempt and queues the request for another upstream, which
// computes the KV cache of the prompt and of the tokens so far again.
func (c *Core) recompute(e *entry, now clock.Instant) {
	c.emit(Abort{Ref: e.ref(), Address: e.choice.Address})
	e.mayHaveRun = true
	if e.hasFirstToken {
		c.countRecomputed(e)
	}
	c.requeueElsewhere(e, now)
}

// requeueElsewhere ends an attempt without a fault of its replica and queues the
// request for another one.
func (c *Core) requeueElsewhere(e *entry, now clock.Instant) {
	if e.occupiesReplica {
		e.occupiesReplica = false
		c.router.Failed(&e.choice, route.Canceled, now)
	}
	e.triedReplicas = append(e.triedReplicas, e.choice.ID)
	c.requeue(e, now)
}

// importCache uploads the KV cache of a moved request to its next upstream.
func (c *Core) importCache(e *entry, now clock.Instant) {
	e.phase = phaseRunning
	e.sentAt = now
	e.lastTokenAt = now
	e.isImporting = true
	c.emit(Import{Ref: e.ref(), Address: e.choice.Address, Cache: e.kvCache, Timeout: e.deadline.Sub(now)})
}

// countRecomputed counts the tokens that an upstream computes again when it
// continues the answer of another.
func (c *Core) countRecomputed(e *entry) {
	tokens := prefix.Tokens(e.request.Prompt) + e.answer.Tokens()
	e.recomputedTokens += tokens
	c.counts.RecomputedTokens += uint64(tokens)
}

// isClaimSent reports whether a non-idempotent request was already sent under
// its claim. It then continues only with its KV cache and needs no new claim.
func (e *entry) isClaimSent() bool {
	return e.claim != nil && e.claim.IsSent()
}

// endNotImported ends a non-idempotent request whose exported KV cache no
// upstream has imported.
func (c *Core) endNotImported(e *entry, now clock.Instant) {
	c.recordUnknown(e)
	c.endUnknown(e, request.UpstreamFailed, "no upstream took the request over", now)
}
