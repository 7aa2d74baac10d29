package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// AttemptFailed reports the end of an attempt without a complete response.
func (c *Core) AttemptFailed(ref AttemptRef, f Failure, now clock.Instant) {
	s, a := c.findAttempt(ref)
	if a == nil {
		return
	}
	if f.NotSent {
		s.pool.health.Failed(&a.member.record, now)
		c.handleNotRun(s, f.Detail, now)
		return
	}
	c.handleBroken(s, f, now)
}

// handleNotRun sends a request again, or refuses it, after an attempt that the
// upstream has not run.
func (c *Core) handleNotRun(s *requestState, detail string, now clock.Instant) {
	s.possibleRuns--
	s.detail = detail
	s.pool.health.Abandoned(&s.attempt.member.record)
	c.endAttempt(s)
	if s.abandoned {
		c.endRequest(s, Abandoned, !s.mayHaveRun, now)
		return
	}
	if c.place(s, now) {
		c.logRetry(s, now)
		return
	}
	c.refuseUnplaced(s, now)
}

// handleBroken retries a request, or fails it, after an attempt that the upstream
// may have run.
func (c *Core) handleBroken(s *requestState, f Failure, now clock.Instant) {
	s.mayHaveRun = true
	s.detail = f.Detail
	s.pool.health.Failed(&s.attempt.member.record, now)
	c.logBroken(s, f.Disconnected)
	c.recordCrash(s, f, now)
	// A prompt that crashes every upstream says nothing of a version.
	if !c.isQuarantined(s, now) {
		c.recordOutcome(s, true)
	}
	if !c.mayRepeatAfter(s, f) || !c.retry(s, f.Detail, now) {
		c.endAttempt(s)
		c.fail(s, Broken, now)
	}
	c.enforceQuarantine(now)
}

// retrySlow moves a request whose upstream is too slow to another upstream. If
// that is not possible, the slow attempt goes on.
func (c *Core) retrySlow(s *requestState, now clock.Instant) {
	a := s.attempt
	a.retryAt = 0
	ref, m := a.ref, a.member
	s.firstEventTook = now.Sub(a.sent)
	c.recordOutcome(s, false)
	if other, _ := c.chooseUpstream(s, now); other == nil {
		return
	}
	if !c.retry(s, "no event in time", now) {
		return
	}
	s.pool.health.Failed(&m.record, now)
	s.mayHaveRun = true
	c.emit(Cancel{Ref: ref})
}

// retry sends a request that may have been run to another upstream. It returns
// false if the route or the retry budget does not allow it or no upstream is free.
func (c *Core) retry(s *requestState, detail string, now clock.Instant) bool {
	if s.abandoned || !s.route.MayRepeat() || s.possibleRuns >= s.route.MaxAttempts {
		return false
	}
	// Without event numbers a stream can't be resumed where the caller is.
	if s.streamStarted && s.lastEvent == 0 {
		return false
	}
	old := s.attempt
	if !c.place(s, now) {
		return false
	}
	c.releaseAttempt(old)
	s.detail = detail
	c.logRetry(s, now)
	return true
}
