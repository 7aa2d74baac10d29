package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// giveUp ends a request that is not wanted any more.
func (c *Core) giveUp(e *entry, reason request.Reason, detail string, now clock.Instant) {
	switch e.phase {
	case phaseEnded:
		return
	case phaseQueued:
		c.queue.Remove(e.seq)
		c.endRefused(e, reason, detail, now)
	case phaseClaiming:
		c.cancelClaim(e)
		c.dropAttempt(e, now)
		c.endRefused(e, reason, detail, now)
	case phaseHandingOver:
		e.mayHaveRun = true
		c.endUnknown(e, reason, detail, now)
	case phaseRunning:
		c.do(Abort{Ref: e.ref(), Address: e.choice.Address})
		e.mayHaveRun = true
		c.loseClaim(e)
		c.dropAttempt(e, now)
		c.endUnknown(e, reason, detail, now)
	}
	c.pump(now)
}

// dropAttempt gives the place of an attempt that was given up back.
func (c *Core) dropAttempt(e *entry, now clock.Instant) {
	if e.started {
		e.started = false
		c.router.Failed(&e.choice, route.Canceled, now)
	}
}

// endFailed ends a request whose attempts are used up.
func (c *Core) endFailed(e *entry, now clock.Instant) {
	if e.mayHaveRun {
		c.endUnknown(e, request.UpstreamFailed, "no upstream gave a whole answer", now)
		return
	}
	c.endRefused(e, request.NoUpstream, "no upstream took the request", now)
}

// endRefused ends a request as not run, if nothing can have run.
func (c *Core) endRefused(e *entry, reason request.Reason, detail string, now clock.Instant) {
	if e.mayHaveRun {
		c.endUnknown(e, reason, detail, now)
		return
	}
	c.counts.NotRun++
	c.end(e, request.Summary{Refusal: notRun(reason, detail, retryPause)}, now)
}

func (c *Core) endUnknown(e *entry, reason request.Reason, detail string, now clock.Instant) {
	c.counts.Unknown++
	refusal := &request.Refusal{Outcome: request.OutcomeUnknown, Reason: reason, Detail: detail}
	c.end(e, request.Summary{Refusal: refusal}, now)
}

func (c *Core) end(e *entry, summary request.Summary, now clock.Instant) {
	summary.Attempts = e.attempt
	summary.RecomputedTokens = e.recomputed
	if summary.Refusal == nil {
		c.counts.Completed++
	}
	c.leaveQueue(e, now)
	e.phase = phaseEnded
	e.ended = now
	e.summary = summary
	c.wake(e, now.Add(c.cfg.Retention))
	if !e.isAccepted {
		c.refuseAll(e, summary.Refusal)
		return
	}
	c.do(Finish{ID: e.request.ID, Pieces: e.log.From(e.forwarded), Summary: summary})
	e.forwarded = e.log.Len()
}

// refuseAll answers all callers of a request that was not accepted.
func (c *Core) refuseAll(e *entry, refusal *request.Refusal) {
	c.do(Refuse{Handle: e.handle, Refusal: refusal})
	for _, a := range e.waiting {
		c.do(Refuse{Handle: a.Handle, Refusal: refusal})
	}
	e.waiting = nil
}
