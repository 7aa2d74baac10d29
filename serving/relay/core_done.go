package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

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
