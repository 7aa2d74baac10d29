package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// giveUp ends a request that is canceled or past its deadline. An attempt that
// runs is aborted.
func (c *Core) giveUp(e *entry, reason request.Reason, detail string, now clock.Instant) {
	switch e.phase {
	case phaseEnded:
		return
	case phaseQueued:
		c.queue.Remove(e.seq)
		c.endRefused(e, reason, detail, now)
	case phaseClaiming:
		c.cancelClaim(e)
		c.cancelAttempt(e, now)
		c.endRefused(e, reason, detail, now)
	case phaseHandingOver:
		e.mayHaveRun = true
		c.endUnknown(e, reason, detail, now)
	case phaseRunning:
		c.emit(Abort{Ref: e.ref(), Address: e.choice.Address})
		e.mayHaveRun = true
		c.recordUnknown(e)
		c.cancelAttempt(e, now)
		c.endUnknown(e, reason, detail, now)
	}
	c.startQueued(now)
}

// cancelAttempt tells the router that the current attempt ended without a fault
// of its replica.
func (c *Core) cancelAttempt(e *entry, now clock.Instant) {
	if e.occupiesReplica {
		e.occupiesReplica = false
		c.router.Failed(&e.choice, route.Canceled, now)
	}
}

// endFailed ends a request that gets no further attempt.
func (c *Core) endFailed(e *entry, now clock.Instant) {
	if e.mayHaveRun {
		c.endUnknown(e, request.UpstreamFailed, "no upstream gave a whole answer", now)
		return
	}
	c.endRefused(e, request.NoUpstream, "no upstream took the request", now)
}

// endRefused ends a request as not run, or with an unknown outcome if an attempt
// may have run.
func (c *Core) endRefused(e *entry, reason request.Reason, detail string, now clock.Instant) {
	if e.mayHaveRun {
		c.endUnknown(e, reason, detail, now)
		return
	}
	c.counts.NotRun++
	c.end(e, request.Summary{Refusal: notRun(reason, detail, defaultRetryAfter)}, now)
}

func (c *Core) endUnknown(e *entry, reason request.Reason, detail string, now clock.Instant) {
	c.counts.Unknown++
	refusal := &request.Refusal{Outcome: request.OutcomeUnknown, Reason: reason, Detail: detail}
	c.end(e, request.Summary{Refusal: refusal}, now)
}

// end ends a request and tells its callers. The entry stays for the retention.
func (c *Core) end(e *entry, summary request.Summary, now clock.Instant) {
	summary.Attempts = e.attempt
	summary.RecomputedTokens = e.recomputedTokens
	if summary.Refusal == nil {
		c.counts.Completed++
	}
	c.finishQueued(e, now)
	e.phase = phaseEnded
	e.endedAt = now
	e.kvCache = nil
	e.summary = summary
	c.setTimer(e, now.Add(c.cfg.Retention))
	if !e.isAccepted {
		c.refuseAll(e, summary.Refusal)
		return
	}
	c.emit(Finish{ID: e.request.ID, Pieces: e.answer.From(e.delivered), Summary: summary})
	e.delivered = e.answer.Len()
}

// refuseAll refuses all callers of a request that was not accepted.
func (c *Core) refuseAll(e *entry, refusal *request.Refusal) {
	c.emit(Refuse{Handle: e.handle, Refusal: refusal})
	for _, a := range e.waitingCallers {
		c.emit(Refuse{Handle: a.Handle, Refusal: refusal})
	}
	e.waitingCallers = nil
}
