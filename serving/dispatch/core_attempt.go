package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// PieceReceived reports a part of an answer that begins with the token of index
// tokenIndex. A part that begins before the end of the answer so far is dropped;
// one that begins after it leaves a gap and fails the attempt.
func (c *Core) PieceReceived(ref StreamRef, tokenIndex, tokens int, text string, now clock.Instant) {
	e := c.currentEntry(ref)
	if e == nil || tokenIndex < e.answer.Tokens() {
		return
	}
	if tokenIndex > e.answer.Tokens() {
		c.emit(Abort{Ref: ref, Address: e.choice.Address})
		c.Failed(ref, Failure{Kind: Broken, Detail: "a piece is missing"}, now)
		return
	}
	c.observeTokens(e, tokens, now)
	piece := request.Piece{Attempt: e.attempt, Index: e.answer.Len(), Tokens: tokens, Text: text}
	// Append can't fail: the index is the next one.
	_ = e.answer.Append(piece)
	e.isReattached = false
	e.kvCache = nil
	c.counts.Tokens += uint64(tokens)
	c.emit(Deliver{ID: e.request.ID, Pieces: e.answer.From(e.delivered)})
	e.delivered = e.answer.Len()
}

// Undelivered reports that the pieces from an index on could not be delivered.
// The next Deliver or the Finish includes them again.
func (c *Core) Undelivered(id request.ID, from int) {
	if e := c.entries[id]; e != nil {
		e.delivered = min(e.delivered, from)
	}
}

// Completed reports that an attempt at a model engine has given a whole answer.
func (c *Core) Completed(ref StreamRef, usage Usage, now clock.Instant) {
	e := c.currentEntry(ref)
	if e == nil {
		return
	}
	c.counts.RecomputedTokens += uint64(usage.RecomputedTokens)
	e.recomputedTokens += usage.RecomputedTokens
	c.succeed(e, nil, now)
}

// Replied reports the reply of a plain service.
func (c *Core) Replied(ref StreamRef, reply *request.ServiceReply, now clock.Instant) {
	e := c.currentEntry(ref)
	if e == nil {
		return
	}
	c.observeTokens(e, 0, now)
	c.succeed(e, reply, now)
}

// Failed reports that an attempt or its stream has failed.
func (c *Core) Failed(ref StreamRef, failure Failure, now clock.Instant) {
	e := c.currentEntry(ref)
	if e == nil {
		return
	}
	if e.isExporting {
		// An export ends the stream; its result decides how to continue.
		e.isStreamLost = true
		return
	}
	c.emitEvent(AttemptFailed, e, failure.Detail)
	if c.reattach(e, failure.Kind) {
		return
	}
	c.failAttempt(e, failure.Kind, now)
	if failure.Kind == NotSent || failure.Kind == RefusedByUpstream {
		c.handleNotRun(e, failure.Kind, now)
		return
	}
	e.mayHaveRun = true
	if !e.request.Idempotent {
		c.recordUnknown(e)
		c.endUnknown(e, request.UpstreamFailed, "the upstream failed while the request ran", now)
		return
	}
	c.retry(e, now)
}

// startQueued starts queued requests while the router finds replicas for them.
func (c *Core) startQueued(now clock.Instant) {
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
			job = c.newJob(e, now)
			choice, err := c.router.Choose(job, now)
			chosen = choice
			return err == nil
		})
		if !ok {
			return
		}
		if e := c.bySeq[next.ID]; e != nil {
			c.startAttempt(e, chosen, job, now)
		}
	}
}

// startAttempt starts the next attempt of a request at the chosen replica. It
// first imports the KV cache of a moved request, or claims a non-idempotent one.
func (c *Core) startAttempt(e *entry, choice route.Choice, job route.Job, now clock.Instant) {
	e.choice = choice
	c.router.Started(&e.choice, job, now)
	e.isDispatched = true
	e.occupiesReplica = true
	e.hasFirstToken = false
	e.isReattached = false
	e.isStreamLost = false
	e.attempt++
	e.attemptID = newAttemptID(c.cfg.Holder, e)
	e.stream = 0
	switch {
	case e.kvCache != nil:
		c.importCache(e, now)
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
	e.lastTokenAt = now
	c.counts.Attempts++
	if e.attempt > 1 {
		c.counts.Retries++
	} else {
		c.retryBudget.Deposit()
	}
	c.emit(Send{
		Ref:          e.ref(),
		Address:      e.choice.Address,
		Request:      &e.request,
		ResumeTokens: e.answer.Tokens(),
		ResumeText:   e.answer.Text(),
		KVHandle:     kvHandle,
		NotAfter:     notAfter,
		Deadline:     e.deadline,
	})
}

// reattach reconnects to a broken stream, which the upstream may still have. It
// reports false if it does not apply. Without a token in between it is tried
// only once.
func (c *Core) reattach(e *entry, kind FailureKind) bool {
	if kind != Broken || e.isReattached || e.request.Call != nil {
		return false
	}
	e.isReattached = true
	e.mayHaveRun = true
	c.counts.Reattached++
	c.emitEvent(AttemptReattached, e, "")
	e.stream++
	c.emit(Reattach{Ref: e.ref(), Address: e.choice.Address, FromToken: e.answer.Tokens(), Deadline: e.deadline})
	return true
}

// handleNotRun handles a failure that proves that the attempt has not run, unless
// the stream was reattached: then the failure is that of the reattachment, and the
// attempt itself may have run.
func (c *Core) handleNotRun(e *entry, kind FailureKind, now clock.Instant) {
	if e.isReattached {
		kind = Broken
	}
	switch {
	case e.request.Idempotent:
		c.retry(e, now)
	case kind == Broken:
		c.recordUnknown(e)
		c.endUnknown(e, request.UpstreamFailed, "the upstream failed while the request ran", now)
	case e.kvCache != nil:
		// What has not run is the continuation with the KV cache. The request has run
		// before, so its record must not say otherwise.
		c.retry(e, now)
	case kind == NotSent:
		c.withdrawClaim(e, now)
	default:
		c.recordUpstreamRefusal(e, now)
	}
}

// retry queues a request for another attempt. It ends the request if the
// attempts, the time or the retry budget are used up.
func (c *Core) retry(e *entry, now clock.Instant) {
	e.triedReplicas = append(e.triedReplicas, e.choice.ID)
	if e.attempt >= c.cfg.MaxAttempts || !now.Before(e.deadline) || !c.retryBudget.TryWithdraw() {
		if e.isClaimSent() {
			c.endNotImported(e, now)
			return
		}
		c.endFailed(e, now)
		return
	}
	if _, err := c.router.Choose(c.newJob(e, now), now); err != nil {
		// No untried replica is available, so any may be tried again.
		e.triedReplicas = nil
	}
	c.requeue(e, now)
	c.startQueued(now)
}

// requeue puts a request into the queue for another attempt. One that the queue
// does not count as running, as after a take-over, is admitted anew.
func (c *Core) requeue(e *entry, now clock.Instant) {
	e.phase = phaseQueued
	if e.isDispatched {
		e.isDispatched = false
		c.queue.Requeue(e.queueEntry)
		return
	}
	if err := c.queue.Admit(e.queueEntry, now); err != nil {
		c.endFailed(e, now)
	}
}

// failAttempt tells the router that the current attempt has failed.
func (c *Core) failAttempt(e *entry, kind FailureKind, now clock.Instant) {
	if !e.occupiesReplica {
		return
	}
	e.occupiesReplica = false
	c.router.Failed(&e.choice, routeFailure(kind), now)
}

func (c *Core) succeed(e *entry, reply *request.ServiceReply, now clock.Instant) {
	e.occupiesReplica = false
	c.router.Finished(&e.choice, now)
	c.recordAnswer(e, reply)
	c.end(e, request.Summary{Reply: reply}, now)
	c.startQueued(now)
}

// observeTokens tells the router and the queue how fast tokens arrive.
func (c *Core) observeTokens(e *entry, tokens int, now clock.Instant) {
	if !e.hasFirstToken {
		e.hasFirstToken = true
		after := now.Sub(e.sentAt)
		c.router.FirstToken(&e.choice, after, now)
		c.queue.ObserveFirstToken(e.queueEntry, after)
	} else {
		c.router.NextTokens(&e.choice, tokens, now.Sub(e.lastTokenAt), now)
	}
	e.lastTokenAt = now
}

// currentEntry returns the entry of a stream, or nil if the stream is not the
// current one of its request.
func (c *Core) currentEntry(ref StreamRef) *entry {
	e := c.entries[ref.ID]
	if e == nil || !e.isCurrent(ref) {
		return nil
	}
	return e
}

func (c *Core) emitEvent(event Event, e *entry, detail string) {
	c.emit(EmitEvent{Event: event, ID: e.request.ID, Upstream: e.choice.ID, Attempt: e.attempt, Detail: detail})
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
