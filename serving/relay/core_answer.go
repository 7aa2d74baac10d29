package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// maxUrgency is the last place in the order of requests at a model engine.
	maxUrgency = 9
	// plainWeight is the weight of one answer in the moving time of plain calls.
	plainWeight = 0.1
)

// Heard takes the head of an attempt's answer.
func (c *Core) Heard(ref Ref, h Head, now clock.Instant) {
	s, a := c.find(ref)
	if a == nil {
		return
	}
	a.head = h
	a.hasHead = true
	s.status = h.Status
}

// Received takes a part of an attempt's answer.
func (c *Core) Received(ref Ref, e Events, now clock.Instant) {
	s, a := c.find(ref)
	if a == nil || !a.hasHead {
		return
	}
	if !isStream(s.route) || !a.head.isSuccess() || !a.head.Sealed {
		a.body = append(a.body, e.Bytes...)
		return
	}
	a.heard = now
	if e.Last > 0 && e.Last <= s.lastEvent {
		return
	}
	c.firstEvent(s, a, now)
	if a.giveUp != 0 {
		c.setGiveUp(s, max(s.route.GapTarget, leastPatience), now)
	}
	if e.Last > 0 {
		s.lastEvent = e.Last
	}
	if s.abandoned {
		return
	}
	if !s.began {
		s.began = true
		c.do(Begin{Ref: ref})
	}
	c.do(Pass{Handle: ref.Handle, Bytes: e.Bytes})
}

// firstEvent notes the time to the first event of an attempt.
func (c *Core) firstEvent(s *state, a *attempt, now clock.Instant) {
	if a.hasEvent {
		return
	}
	a.hasEvent = true
	a.member.reading -= a.predicted.uncached
	a.member.delays[a.urgency].ended(a)
	c.ran(s, now)
	c.learn(a, now)
	s.pool.group.Succeeded(&a.member.record)
}

// ran notes that an upstream began to run the request.
func (c *Core) ran(s *state, now clock.Instant) {
	if s.first != 0 {
		return
	}
	s.first = now
	c.counts.Ran++
	if s.request.Prompt != nil {
		c.counts.PromptTokens += uint64(s.request.Prompt.Tokens)
		c.counts.CachedTokens += uint64(s.predicted.cached)
	}
	customer := ""
	if s.customer != nil {
		customer = s.customer.Name
	}
	c.do(Ran{Customer: customer})
}

// learn takes how long the first event took beyond what the upstream needs for
// the request alone.
func (c *Core) learn(a *attempt, now clock.Instant) {
	m := a.member
	if a.predicted.alone == 0 {
		m.plain += time.Duration(plainWeight * float64(now.Sub(a.sent)-m.plain))
		return
	}
	m.delays[a.urgency].observed(now.Sub(a.sent)-a.predicted.alone, now)
}

// Done takes the end of an attempt's whole answer.
func (c *Core) Done(ref Ref, now clock.Instant) {
	s, a := c.find(ref)
	if a == nil {
		return
	}
	h := a.head
	switch {
	case h.Misdirected:
		a.member.misdirected = true
		c.notRun(s, "another upstream has the address", now)
	case h.NotRun:
		a.member.fullUntil = now.Add(fullFor)
		c.notRun(s, "the upstream refused the request", now)
	case h.isSuccess() && !h.Sealed:
		c.broken(s, "a success without a receipt", now)
	case h.isSuccess() && isStream(s.route):
		c.finishStream(s, now)
	default:
		c.replied(s, now)
	}
}

func (c *Core) finishStream(s *state, now clock.Instant) {
	a := s.attempt
	c.firstEvent(s, a, now)
	c.endAttempt(s)
	c.counts.Answered++
	if !s.abandoned {
		if !s.began {
			c.do(Begin{Ref: a.ref})
		}
		c.do(Finish{Handle: a.ref.Handle})
	}
	c.forget(s, Answered, false, now)
}

// replied ends a request with the answer as it is, or tries again after a
// server error.
func (c *Core) replied(s *state, now clock.Instant) {
	a := s.attempt
	isError := a.head.Status >= 500
	s.mayHave = true
	c.ran(s, now)
	if !isStream(s.route) {
		c.learn(a, now)
	}
	s.pool.answered(a.member, isError, now)
	if isError && c.again(s, "server error", now) {
		return
	}
	c.endAttempt(s)
	c.counts.Answered++
	switch {
	case s.abandoned:
	case s.began:
		c.do(Abort{Handle: a.ref.Handle})
	default:
		c.do(Reply{Ref: a.ref, Body: a.body})
	}
	c.forget(s, Answered, false, now)
}

// Failed takes the end of an attempt without a whole answer.
func (c *Core) Failed(ref Ref, f Failure, now clock.Instant) {
	s, a := c.find(ref)
	if a == nil {
		return
	}
	if f.NotSent {
		s.pool.group.Failed(&a.member.record, now)
		c.notRun(s, f.Detail, now)
		return
	}
	c.broken(s, f.Detail, now)
}

// notRun goes on after an attempt that no upstream has run.
func (c *Core) notRun(s *state, detail string, now clock.Instant) {
	s.ran--
	s.detail = detail
	c.endAttempt(s)
	if s.abandoned {
		c.forget(s, Abandoned, !s.mayHave, now)
		return
	}
	if c.place(s, now) {
		c.noteRetry(s, now)
		return
	}
	c.refuseUnplaced(s, now)
}

// broken goes on after an attempt that an upstream may have run.
func (c *Core) broken(s *state, detail string, now clock.Instant) {
	s.mayHave = true
	s.detail = detail
	s.pool.group.Failed(&s.attempt.member.record, now)
	if c.again(s, detail, now) {
		return
	}
	c.endAttempt(s)
	c.giveUp(s, Broken, now)
}

// tooSlow gives a request that may be repeated to another upstream.
func (c *Core) tooSlow(s *state, now clock.Instant) {
	a := s.attempt
	a.giveUp = 0
	ref, m := a.ref, a.member
	if m2, _ := c.choose(s, now); m2 == nil {
		return
	}
	if !c.again(s, "no event in time", now) {
		return
	}
	s.pool.group.Failed(&m.record, now)
	s.mayHave = true
	c.do(Cancel{Ref: ref})
}

// again sends a request that may be repeated to another upstream.
func (c *Core) again(s *state, detail string, now clock.Instant) bool {
	if s.abandoned || !s.route.MayRepeat() || s.ran >= s.route.Attempts {
		return false
	}
	if s.began && s.lastEvent == 0 {
		return false
	}
	old := s.attempt
	if !c.place(s, now) {
		return false
	}
	c.release(old)
	s.detail = detail
	c.noteRetry(s, now)
	return true
}

// Gone takes the end of the caller's connection.
func (c *Core) Gone(h Handle, now clock.Instant) {
	s := c.states[h]
	if s == nil {
		return
	}
	s.abandoned = true
	c.counts.Abandoned++
	if s.attempt != nil && s.route.Kind == catalog.NonIdempotent {
		// The call goes on to its end at the upstream.
		return
	}
	if s.attempt != nil {
		s.mayHave = true
		c.do(Cancel{Ref: s.attempt.ref})
		s.pool.group.Abandoned(&s.attempt.member.record)
		c.endAttempt(s)
	}
	c.forget(s, Abandoned, !s.mayHave, now)
}

// timeOut ends a request at its limit.
func (c *Core) timeOut(s *state, now clock.Instant) {
	if a := s.attempt; a != nil {
		s.mayHave = true
		c.do(Cancel{Ref: a.ref})
		if now.Sub(a.heard) >= s.limit.Sub(s.arrived)/2 {
			s.pool.group.Failed(&a.member.record, now)
		}
		c.endAttempt(s)
	}
	c.giveUp(s, TimedOut, now)
}

// giveUp ends a request that may have been run without its whole answer.
func (c *Core) giveUp(s *state, reason Reason, now clock.Instant) {
	switch {
	case s.abandoned:
	case s.began:
		c.counts.Aborted++
		c.do(Abort{Handle: s.request.Handle})
	default:
		c.counts.Broken++
		c.do(Refuse{Handle: s.request.Handle, Refusal: Refusal{Reason: reason, NotRun: !s.mayHave, RetryAfter: comeBackSoon}})
	}
	c.forget(s, reason, !s.mayHave, now)
}

// refuseUnplaced ends a request for which there is no upstream.
func (c *Core) refuseUnplaced(s *state, now clock.Instant) {
	if s.mayHave {
		c.giveUp(s, Broken, now)
		return
	}
	reason := Overloaded
	if s.pool == nil || len(s.pool.order) == 0 {
		reason = NoUpstream
	}
	c.giveBack(s)
	c.refuse(s, Refusal{Reason: reason, RetryAfter: comeBackSoon}, now)
}

// refuse ends a request that no upstream has run.
func (c *Core) refuse(s *state, r Refusal, now clock.Instant) {
	r.NotRun = true
	c.counts.Refused++
	if s.began {
		c.do(Abort{Handle: s.request.Handle})
	} else {
		c.do(Refuse{Handle: s.request.Handle, Refusal: r})
	}
	c.forget(s, r.Reason, true, now)
}

// endAttempt closes the books of the open attempt.
func (c *Core) endAttempt(s *state) {
	c.release(s.attempt)
	s.attempt = nil
}

func (c *Core) release(a *attempt) {
	if a == nil {
		return
	}
	a.member.open--
	if !a.hasEvent {
		a.member.reading -= a.predicted.uncached
		a.member.delays[a.urgency].ended(a)
	}
}

// find returns the request of an attempt and the attempt, which is nil unless
// it is the open one.
func (c *Core) find(ref Ref) (*state, *attempt) {
	s := c.states[ref.Handle]
	if s == nil || s.attempt == nil || s.attempt.ref != ref {
		return s, nil
	}
	return s, s.attempt
}

func (c *Core) forget(s *state, reason Reason, notRun bool, now clock.Instant) {
	delete(c.states, s.request.Handle)
	c.do(c.note(NoteEnded, s, reason, notRun, now))
}

func (c *Core) noteRetry(s *state, now clock.Instant) {
	c.counts.Retried++
	c.do(c.note(NoteRetried, s, "", false, now))
}

func (c *Core) note(event NoteEvent, s *state, reason Reason, notRun bool, now clock.Instant) Note {
	n := Note{
		Event:     event,
		Handle:    s.request.Handle,
		ID:        s.request.ID,
		Upstream:  s.upstream,
		Attempts:  s.attempts,
		Reason:    reason,
		NotRun:    notRun,
		Status:    s.status,
		Took:      now.Sub(s.arrived),
		Predicted: s.predicted.first,
		Cached:    s.predicted.cached,
		Open:      s.predicted.open,
		ViewAge:   now.Sub(c.viewed),
		Detail:    s.detail,
	}
	if s.route != nil {
		n.Route = s.route.Name
	}
	if s.customer != nil {
		n.Customer = s.customer.Name
	}
	if s.first != 0 {
		n.First = s.first.Sub(s.arrived)
	}
	if c.catalog != nil {
		n.Config = c.catalog.Version
	}
	return n
}

func isStream(r *catalog.Route) bool {
	return r.Kind == catalog.Stream
}
