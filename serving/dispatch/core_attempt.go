package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// Piece takes a part of an answer: tokens from tokenIndex on. What was seen
// before is dropped; a gap breaks the attempt.
func (c *Core) Piece(ref Ref, tokenIndex, tokens int, text string, now clock.Instant) {
	e := c.current(ref)
	if e == nil || tokenIndex < e.log.Tokens() {
		return
	}
	if tokenIndex > e.log.Tokens() {
		c.do(Abort{Ref: ref, Address: e.choice.Address})
		c.Failed(ref, Failure{Kind: Broken, Detail: "a piece is missing"}, now)
		return
	}
	c.noteToken(e, tokens, now)
	piece := request.Piece{Attempt: e.attempt, Index: e.log.Len(), Tokens: tokens, Text: text}
	// The index follows by construction.
	_ = e.log.Append(piece)
	e.reattached = false
	c.counts.Tokens += uint64(tokens)
	c.do(Deliver{ID: e.request.ID, Pieces: e.log.From(e.forwarded)})
	e.forwarded = e.log.Len()
}

// Undelivered says that pieces from an index on could not be given; they come
// again with the next ones.
func (c *Core) Undelivered(id request.ID, from int) {
	if e := c.entries[id]; e != nil {
		e.forwarded = min(e.forwarded, from)
	}
}

// Completed takes the end of a whole answer of a model engine.
func (c *Core) Completed(ref Ref, usage Usage, now clock.Instant) {
	e := c.current(ref)
	if e == nil {
		return
	}
	c.counts.RecomputedTokens += uint64(usage.RecomputedTokens)
	e.recomputed += usage.RecomputedTokens
	c.succeed(e, nil, now)
}

// Replied takes the reply of a plain service.
func (c *Core) Replied(ref Ref, reply *request.Reply, now clock.Instant) {
	e := c.current(ref)
	if e == nil {
		return
	}
	c.noteToken(e, 0, now)
	c.succeed(e, reply, now)
}

// Failed takes the failure of an attempt.
func (c *Core) Failed(ref Ref, failure Failure, now clock.Instant) {
	e := c.current(ref)
	if e == nil {
		return
	}
	if e.isExporting {
		// The export stops the stream; its result says how to go on.
		e.isStreamLost = true
		return
	}
	c.note(AttemptFailed, e, failure.Detail)
	if c.reattach(e, failure.Kind) {
		return
	}
	c.endAttempt(e, failure.Kind, now)
	if failure.Kind == NotSent || failure.Kind == RefusedByUpstream {
		c.failedUnrun(e, failure.Kind, now)
		return
	}
	e.mayHaveRun = true
	if !e.request.Idempotent {
		c.loseClaim(e)
		c.endUnknown(e, request.UpstreamFailed, "the upstream failed while the request ran", now)
		return
	}
	c.retry(e, now)
}

// pump starts attempts while upstreams have room.
func (c *Core) pump(now clock.Instant) {
	if c.catalog == nil {
		return
	}
	for {
		var chosen route.Choice
		var job route.Job
		next, ok := c.queue.Next(now, func(q admit.Entry) bool {
			e := c.bySeq[q.ID]
			if e == nil {
				return false
			}
			job = c.job(e, now)
			choice, err := c.router.Choose(job, now)
			chosen = choice
			return err == nil
		})
		if !ok {
			return
		}
		if e := c.bySeq[next.ID]; e != nil {
			c.start(e, chosen, job, now)
		}
	}
}

func (c *Core) start(e *entry, choice route.Choice, job route.Job, now clock.Instant) {
	e.choice = choice
	c.router.Started(&e.choice, job, now)
	e.isDispatched = true
	e.started = true
	e.firstSeen = false
	e.reattached = false
	e.isStreamLost = false
	e.attempt++
	e.stream = 0
	switch {
	case e.cache != nil:
		c.startWithCache(e, now)
	case e.request.Idempotent:
		c.accept(e)
		c.send(e, "", 0, now)
	default:
		c.claimAttempt(e, now)
	}
}

func (c *Core) send(e *entry, kvHandle string, notAfter, now clock.Instant) {
	e.phase = phaseRunning
	e.sentAt = now
	e.lastToken = now
	c.counts.Attempts++
	if e.attempt > 1 {
		c.counts.Retries++
	} else {
		c.budget.Earn()
	}
	c.do(Send{
		Ref:          e.ref(),
		Address:      e.choice.Address,
		Request:      &e.request,
		ResumeTokens: e.log.Tokens(),
		ResumeText:   e.log.Text(),
		KVHandle:     kvHandle,
		NotAfter:     notAfter,
		Deadline:     e.deadline,
	})
}

// reattach takes up a broken stream where the upstream still has it. It is
// tried once without a token in between.
func (c *Core) reattach(e *entry, kind FailureKind) bool {
	if kind != Broken || e.reattached || e.request.Call != nil {
		return false
	}
	e.reattached = true
	e.mayHaveRun = true
	c.counts.Reattached++
	c.note(AttemptReattached, e, "")
	e.stream++
	c.do(Reattach{Ref: e.ref(), Address: e.choice.Address, FromToken: e.log.Tokens(), Deadline: e.deadline})
	return true
}

// failedUnrun goes on after an attempt that surely did not run. An attempt that
// was sent and then reported as not sent was a reattachment.
func (c *Core) failedUnrun(e *entry, kind FailureKind, now clock.Instant) {
	if e.reattached {
		kind = Broken
	}
	switch {
	case e.request.Idempotent:
		c.retry(e, now)
	case kind == Broken:
		c.loseClaim(e)
		c.endUnknown(e, request.UpstreamFailed, "the upstream failed while the request ran", now)
	case kind == NotSent:
		c.claimNotSent(e, now)
	default:
		c.claimRefused(e, now)
	}
}

// retry puts a request back into the queue for another attempt, if it may have
// one.
func (c *Core) retry(e *entry, now clock.Instant) {
	e.tried = append(e.tried, e.choice.ID)
	if e.attempt >= c.cfg.MaxAttempts || !now.Before(e.deadline) || !c.budget.Spend() {
		if e.isContinued() {
			c.endExported(e, now)
			return
		}
		c.endFailed(e, now)
		return
	}
	if _, err := c.router.Choose(c.job(e, now), now); err != nil {
		// All others are tried, or none is live: any may be tried again.
		e.tried = nil
	}
	c.requeue(e, now)
	c.pump(now)
}

// requeue puts a request into the queue for another attempt. One that was taken
// over from another gateway has not been in the queue here.
func (c *Core) requeue(e *entry, now clock.Instant) {
	e.phase = phaseQueued
	if e.isDispatched {
		e.isDispatched = false
		c.queue.Requeue(e.queued)
		return
	}
	if err := c.queue.Admit(e.queued, now); err != nil {
		c.endFailed(e, now)
	}
}

// endAttempt gives the upstream's place back.
func (c *Core) endAttempt(e *entry, kind FailureKind, now clock.Instant) {
	if !e.started {
		return
	}
	e.started = false
	c.router.Failed(&e.choice, routeFailure(kind), now)
}

func (c *Core) succeed(e *entry, reply *request.Reply, now clock.Instant) {
	e.started = false
	c.router.Finished(&e.choice, now)
	c.completeClaim(e, reply)
	c.end(e, request.Summary{Reply: reply}, now)
	c.pump(now)
}

// noteToken tells the router and the queue how fast an answer comes.
func (c *Core) noteToken(e *entry, tokens int, now clock.Instant) {
	if !e.firstSeen {
		e.firstSeen = true
		after := now.Sub(e.sentAt)
		c.router.FirstToken(&e.choice, after, now)
		c.queue.ObserveFirstToken(e.queued, after)
	} else {
		c.router.NextTokens(&e.choice, tokens, now.Sub(e.lastToken), now)
	}
	e.lastToken = now
}

func (c *Core) current(ref Ref) *entry {
	e := c.entries[ref.ID]
	if e == nil || !e.isCurrent(ref) {
		return nil
	}
	return e
}

func (c *Core) note(event NoteEvent, e *entry, detail string) {
	c.do(Note{Event: event, ID: e.request.ID, Upstream: e.choice.ID, Attempt: e.attempt, Detail: detail})
}

func routeFailure(kind FailureKind) route.FailureKind {
	switch kind {
	case RefusedByUpstream:
		return route.Refused
	case TimedOut:
		return route.TimedOut
	default:
		return route.Broken
	}
}
