package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// takeOverGraceFactor is how many times ResumeGrace a request that was taken
// over waits for a caller, which has yet to be redirected here.
const takeOverGraceFactor = 3

// HandOver offers the open requests to other gateways. Requests that are not
// accepted yet or are being claimed, recorded or moved stay until a later call;
// service calls always stay.
func (c *Core) HandOver(now clock.Instant) {
	for _, e := range c.entries {
		if e.canHandOver() {
			c.handOver(e, now)
		}
	}
}

// HandedOver reports the reply to a HandOver. taken is false also if there was
// none: the request then continues here.
func (c *Core) HandedOver(id request.ID, taken bool, address string, now clock.Instant) {
	e := c.entries[id]
	if e == nil || e.phase != phaseHandingOver {
		return
	}
	if !taken {
		c.takeBack(e, now)
		c.startQueued(now)
		return
	}
	c.counts.HandedOver++
	c.emit(Redirect{ID: id, Address: address})
	c.finishQueued(e, now)
	delete(c.entries, id)
	delete(c.bySeq, e.seq)
}

// TakeOver takes a request over from another gateway. A TakeOverResult with the
// same token follows at once, or for a request with a claim when it is known
// which gateway holds that.
func (c *Core) TakeOver(token uint64, h Handoff, now clock.Instant) {
	target, ok := c.takeOverTarget(&h)
	if !ok {
		c.emit(TakeOverResult{Token: token})
		return
	}
	e := c.addTakenOver(&h, target, now)
	if e == nil {
		c.emit(TakeOverResult{Token: token})
		return
	}
	c.counts.TakenOver++
	c.emit(StartAnswer{ID: e.request.ID, Pieces: e.answer.From(0)})
	switch {
	case h.Claim != nil:
		e.takeOverToken = token
		c.claimHandoff(e, *h.Claim, now)
	case h.Upstream != "":
		c.emit(TakeOverResult{Token: token, Taken: true, AnswerStarted: true})
		c.resumeStream(e, now)
	default:
		c.emit(TakeOverResult{Token: token, Taken: true, AnswerStarted: true})
		c.requeue(e, now)
		c.startQueued(now)
	}
}

func (e *entry) canHandOver() bool {
	isOpen := e.phase == phaseQueued || e.phase == phaseRunning
	isBusy := e.isExporting || e.isImporting || e.isStoreCallPending || e.kvCache != nil
	return isOpen && !isBusy && e.isAccepted && e.request.Call == nil
}

func (c *Core) handOver(e *entry, now clock.Instant) {
	h := Handoff{
		Request:          e.request,
		Pieces:           e.answer.From(0),
		ArrivedUnix:      e.arrivedUnix,
		TimeLeft:         e.deadline.Sub(now),
		Attempts:         e.attempt,
		RecomputedTokens: e.recomputedTokens,
		MayHaveRun:       e.mayHaveRun || e.phase == phaseRunning,
	}
	if e.claim != nil {
		released, err := e.claim.Release()
		if err != nil {
			return
		}
		h.Claim = &released
	}
	if e.phase == phaseRunning {
		h.Upstream, h.Address, h.AttemptID = e.choice.ID, e.choice.Address, e.attemptID
		c.emit(Detach{Ref: e.ref()})
	} else {
		c.queue.Remove(e.seq)
	}
	if e.occupiesReplica {
		e.occupiesReplica = false
		c.router.Failed(&e.choice, route.Canceled, now)
	}
	e.phase = phaseHandingOver
	e.handoff = &h
	c.emit(HandOver{ID: e.request.ID, Handoff: h})
}

// takeBack continues a request whose hand-over was not confirmed. The other
// gateway may have taken it nevertheless; for a non-idempotent request the
// record decides which of the two continues.
func (c *Core) takeBack(e *entry, now clock.Instant) {
	h := e.handoff
	e.handoff = nil
	switch {
	case h.Claim != nil:
		c.claimHandoff(e, *h.Claim, now)
	case h.Upstream != "":
		c.resumeStream(e, now)
	default:
		c.requeue(e, now)
	}
}

func (c *Core) takeOverTarget(h *Handoff) (target, bool) {
	if c.isDraining || c.catalog == nil || c.entries[h.Request.ID] != nil || !c.makeRoom() {
		return target{}, false
	}
	t, refusal := c.resolve(&h.Request)
	return t, refusal == nil
}

// addTakenOver adds the entry of a request that was taken over. It returns nil
// if pieces of the answer so far are missing.
func (c *Core) addTakenOver(h *Handoff, t target, now clock.Instant) *entry {
	c.lastSeq++
	e := &entry{
		seq:              c.lastSeq,
		request:          h.Request,
		fingerprint:      fingerprintOf(&h.Request),
		arrivedUnix:      h.ArrivedUnix,
		target:           t,
		isAccepted:       true,
		arrivedAt:        now,
		deadline:         now.Add(h.TimeLeft),
		attempt:          h.Attempts,
		attemptID:        h.AttemptID,
		recomputedTokens: h.RecomputedTokens,
		mayHaveRun:       h.MayHaveRun,
		choice:           route.Choice{ID: h.Upstream, Address: h.Address},
		hasNoCaller:      true,
		callersGoneAt:    now.Add((takeOverGraceFactor - 1) * c.cfg.ResumeGrace),
	}
	if e.attemptID == "" {
		e.attemptID = plainAttemptID(h.Request.ID, h.Attempts)
	}
	for _, p := range h.Pieces {
		if e.answer.Append(p) != nil {
			return nil
		}
	}
	e.delivered = e.answer.Len()
	e.promptBlocks = prefix.Blocks(e.request.Model, e.request.Adapter, e.request.Prompt)
	e.promptTokens = prefix.Tokens(e.request.Prompt)
	e.queueEntry = c.newQueueEntry(e, now)
	c.entries[e.request.ID] = e
	c.bySeq[e.seq] = e
	c.setTimer(e, e.deadline)
	c.setTimer(e, e.callersGoneAt.Add(c.cfg.ResumeGrace))
	return e
}

// claimHandoff claims a non-idempotent request that another gateway, or this one
// itself, has released.
func (c *Core) claimHandoff(e *entry, released attempt.Handoff, now clock.Instant) {
	e.phase = phaseClaiming
	c.lastNonce++
	e.claim = attempt.NewClaimFrom(c.cfg.ClaimWindow, c.cfg.Holder, c.lastNonce, released)
	c.performStep(e, e.claim.Begin(now), now)
}

// claimAttached continues a request that was sent before its hand-over and whose
// record now names this gateway.
func (c *Core) claimAttached(e *entry, now clock.Instant) {
	c.emitTakeOverResult(e, true)
	if e.phase == phaseClaiming {
		c.resumeStream(e, now)
	}
}

// claimLost ends a request whose claim another gateway may have.
func (c *Core) claimLost(e *entry, now clock.Instant) {
	e.claim = nil
	if e.takeOverToken != 0 {
		c.emitTakeOverResult(e, false)
		c.finishQueued(e, now)
		c.forget(e)
		return
	}
	if e.phase == phaseClaiming {
		e.mayHaveRun = true
		c.endUnknown(e, request.Duplicate, "another gateway goes on with the request", now)
	}
}

func (c *Core) emitTakeOverResult(e *entry, taken bool) {
	if e.takeOverToken == 0 {
		return
	}
	c.emit(TakeOverResult{Token: e.takeOverToken, Taken: taken, AnswerStarted: true})
	e.takeOverToken = 0
}

// resumeStream reattaches to the stream of an attempt that is still running at
// its upstream.
func (c *Core) resumeStream(e *entry, now clock.Instant) {
	e.phase = phaseRunning
	e.mayHaveRun = true
	e.isReattached = true
	e.stream++
	e.sentAt = now
	e.lastTokenAt = now
	c.counts.Reattached++
	c.emit(Reattach{Ref: e.ref(), Address: e.choice.Address, FromToken: e.answer.Tokens(), Deadline: e.deadline})
}

// finishQueued tells the queue that a dispatched request no longer runs here.
func (c *Core) finishQueued(e *entry, now clock.Instant) {
	if e.isDispatched {
		e.isDispatched = false
		c.queue.Finish(e.queueEntry, now.Sub(e.sentAt))
	}
}
