package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

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
