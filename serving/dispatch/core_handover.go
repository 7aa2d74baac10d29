package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/attempt"
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// takeOverGrace is how many times the ResumeGrace a request that was taken over
// waits for a caller, which has yet to learn where it is.
const takeOverGrace = 3

// HandOver gives the open requests to other gateways. Those that are being
// recorded or moved, and calls of plain services, stay for now.
func (c *Core) HandOver(now clock.Instant) {
	for _, e := range c.entries {
		if e.mayBeHandedOver() {
			c.handOver(e, now)
		}
	}
}

// HandedOver takes the answer to a HandOver. A request that was not taken, as
// far as is known, goes on here.
func (c *Core) HandedOver(id request.ID, taken bool, address string, now clock.Instant) {
	e := c.entries[id]
	if e == nil || e.phase != phaseHandingOver {
		return
	}
	if !taken {
		c.takeBack(e, now)
		c.pump(now)
		return
	}
	c.counts.HandedOver++
	c.do(Moved{ID: id, Address: address})
	c.leaveQueue(e, now)
	delete(c.entries, id)
	delete(c.bySeq, e.seq)
}

// TakeOver takes a request from another gateway. The answer is a
// TakeOverAnswer with the same token, now or when the record is written.
func (c *Core) TakeOver(token uint64, h Handoff, now clock.Instant) {
	target, ok := c.takeOverTarget(&h)
	if !ok {
		c.do(TakeOverAnswer{Token: token})
		return
	}
	e := c.adopt(&h, target, now)
	if e == nil {
		c.do(TakeOverAnswer{Token: token})
		return
	}
	c.counts.TakenOver++
	c.do(Adopt{ID: e.request.ID, Pieces: e.log.From(0)})
	switch {
	case h.Claim != nil:
		e.token = token
		c.claimFrom(e, *h.Claim, now)
	case h.Upstream != "":
		c.do(TakeOverAnswer{Token: token, Taken: true, Adopted: true})
		c.followStream(e, now)
	default:
		c.do(TakeOverAnswer{Token: token, Taken: true, Adopted: true})
		c.requeue(e, now)
		c.pump(now)
	}
}

func (e *entry) mayBeHandedOver() bool {
	isOpen := e.phase == phaseQueued || e.phase == phaseRunning
	isBusy := e.isExporting || e.isImporting || e.pending || e.cache != nil
	return isOpen && !isBusy && e.isAccepted && e.request.Call == nil
}

func (c *Core) handOver(e *entry, now clock.Instant) {
	h := Handoff{
		Request:          e.request,
		Pieces:           e.log.From(0),
		UnixSeconds:      e.created,
		Left:             e.deadline.Sub(now),
		Attempts:         e.attempt,
		RecomputedTokens: e.recomputed,
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
		h.Upstream, h.Address = e.choice.ID, e.choice.Address
		c.do(Detach{Ref: e.ref()})
	} else {
		c.queue.Remove(e.seq)
	}
	if e.started {
		e.started = false
		c.router.Failed(&e.choice, route.Canceled, now)
	}
	e.phase = phaseHandingOver
	e.handoff = &h
	c.do(HandOver{ID: e.request.ID, Handoff: h})
}

// takeBack goes on with a request that was not taken. If it was taken after
// all, the record shows that for a non-idempotent one.
func (c *Core) takeBack(e *entry, now clock.Instant) {
	h := e.handoff
	e.handoff = nil
	switch {
	case h.Claim != nil:
		c.claimFrom(e, *h.Claim, now)
	case h.Upstream != "":
		c.followStream(e, now)
	default:
		c.requeue(e, now)
	}
}

func (c *Core) takeOverTarget(h *Handoff) (target, bool) {
	if c.isLeaving || c.catalog == nil || c.entries[h.Request.ID] != nil || !c.makeRoom() {
		return target{}, false
	}
	t, refusal := c.resolve(&h.Request)
	return t, refusal == nil
}

// adopt makes the entry of a request that was taken over, nil if its answer so
// far is not whole.
func (c *Core) adopt(h *Handoff, t target, now clock.Instant) *entry {
	c.lastSeq++
	e := &entry{
		seq:         c.lastSeq,
		request:     h.Request,
		fingerprint: fingerprintOf(&h.Request),
		created:     h.UnixSeconds,
		target:      t,
		isAccepted:  true,
		arrived:     now,
		deadline:    now.Add(h.Left),
		attempt:     h.Attempts,
		recomputed:  h.RecomputedTokens,
		mayHaveRun:  h.MayHaveRun,
		choice:      route.Choice{ID: h.Upstream, Address: h.Address},
		isDetached:  true,
		detachedAt:  now.Add((takeOverGrace - 1) * c.cfg.ResumeGrace),
	}
	for _, p := range h.Pieces {
		if e.log.Append(p) != nil {
			return nil
		}
	}
	e.forwarded = e.log.Len()
	e.blocks = prefix.Blocks(e.request.Model, e.request.Adapter, e.request.Prompt)
	e.tokens = prefix.Tokens(e.request.Prompt)
	e.queued = c.queueEntry(e, now)
	c.entries[e.request.ID] = e
	c.bySeq[e.seq] = e
	c.wake(e, e.deadline)
	c.wake(e, e.detachedAt.Add(c.cfg.ResumeGrace))
	return e
}

// claimFrom takes up the right to finish a non-idempotent request.
func (c *Core) claimFrom(e *entry, released attempt.Handoff, now clock.Instant) {
	e.phase = phaseClaiming
	c.lastNonce++
	e.claim = attempt.NewClaimFrom(c.cfg.Window, c.cfg.Holder, c.lastNonce, released)
	c.step(e, e.claim.Begin(now), now)
}

// claimAttached goes on with the stream of a request whose record names this
// gateway now.
func (c *Core) claimAttached(e *entry, now clock.Instant) {
	c.answerTakeOver(e, true)
	if e.phase == phaseClaiming {
		c.followStream(e, now)
	}
}

// claimLost ends a request whose record went to another gateway.
func (c *Core) claimLost(e *entry, now clock.Instant) {
	e.claim = nil
	if e.token != 0 {
		c.answerTakeOver(e, false)
		c.leaveQueue(e, now)
		c.forget(e)
		return
	}
	if e.phase == phaseClaiming {
		e.mayHaveRun = true
		c.endUnknown(e, request.Duplicate, "another gateway goes on with the request", now)
	}
}

func (c *Core) answerTakeOver(e *entry, taken bool) {
	if e.token == 0 {
		return
	}
	c.do(TakeOverAnswer{Token: e.token, Taken: taken, Adopted: true})
	e.token = 0
}

// followStream takes up the stream of an attempt that goes on at its upstream.
func (c *Core) followStream(e *entry, now clock.Instant) {
	e.phase = phaseRunning
	e.mayHaveRun = true
	e.reattached = true
	e.stream++
	e.sentAt = now
	e.lastToken = now
	c.counts.Reattached++
	c.do(Reattach{Ref: e.ref(), Address: e.choice.Address, FromToken: e.log.Tokens(), Deadline: e.deadline})
}

// leaveQueue ends the accounting of a request in the queue.
func (c *Core) leaveQueue(e *entry, now clock.Instant) {
	if e.isDispatched {
		e.isDispatched = false
		c.queue.Finish(e.queued, now.Sub(e.sentAt))
	}
}
