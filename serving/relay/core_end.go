package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

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
