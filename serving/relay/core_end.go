package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// CallerGone reports that the caller has disconnected. The attempt in progress is
// canceled unless the route is NonIdempotent.
func (c *Core) CallerGone(h Handle, now clock.Instant) {
	s := c.requests[h]
	if s == nil {
		return
	}
	s.abandoned = true
	c.counts.Abandoned++
	if s.attempt != nil && s.route.Kind == catalog.NonIdempotent {
		// The upstream finishes the request; its response is dropped.
		return
	}
	if s.attempt != nil {
		s.mayHaveRun = true
		c.emit(Cancel{Ref: s.attempt.ref})
		s.pool.health.Abandoned(&s.attempt.member.record)
		c.endAttempt(s)
	}
	c.endRequest(s, Abandoned, !s.mayHaveRun, now)
}

// timeOut ends a request at its deadline. That counts against the upstream only
// if it was silent for at least half of the time.
func (c *Core) timeOut(s *requestState, now clock.Instant) {
	if a := s.attempt; a != nil {
		s.mayHaveRun = true
		c.emit(Cancel{Ref: a.ref})
		if !a.hasEvent {
			s.firstEventTook = now.Sub(a.sent)
			c.recordOutcome(s, true)
		}
		if now.Sub(a.lastActivity) >= s.deadline.Sub(s.arrived)/2 {
			s.pool.health.Failed(&a.member.record, now)
		}
		c.endAttempt(s)
	}
	c.fail(s, TimedOut, now)
}

// stopRequest ends a request when the process ends.
func (c *Core) stopRequest(s *requestState, now clock.Instant) {
	if a := s.attempt; a != nil {
		s.mayHaveRun = true
		c.emit(Cancel{Ref: a.ref})
		s.pool.health.Abandoned(&a.member.record)
		c.endAttempt(s)
	}
	c.fail(s, Stopped, now)
}

// fail ends a request that was sent but got no complete response.
func (c *Core) fail(s *requestState, reason Reason, now clock.Instant) {
	switch {
	case s.abandoned:
	case s.streamStarted:
		c.counts.Aborted++
		c.emit(Abort{Handle: s.request.Handle})
	default:
		c.counts.Broken++
		c.emit(Refuse{Handle: s.request.Handle, Refusal: Refusal{Reason: reason, NotRun: !s.mayHaveRun, RetryAfter: defaultRetryAfter}})
	}
	c.endRequest(s, reason, !s.mayHaveRun, now)
}

// refuseUnplaced ends a request that can't be sent to any upstream.
func (c *Core) refuseUnplaced(s *requestState, now clock.Instant) {
	if s.mayHaveRun {
		c.fail(s, Broken, now)
		return
	}
	reason := Overloaded
	switch {
	case s.pool == nil || len(s.pool.list) == 0:
		reason = NoUpstream
	case s.attempts > 0 && c.isQuarantined(s, now):
		reason = Quarantined
	}
	wait := defaultRetryAfter
	if s.pool != nil {
		wait = s.pool.retryAfter(s.request.ID, now)
	}
	c.refund(s, now)
	c.refuse(s, Refusal{Reason: reason, RetryAfter: wait}, now)
}

// refuse ends a request that no upstream has run.
func (c *Core) refuse(s *requestState, r Refusal, now clock.Instant) {
	r.NotRun = true
	c.counts.Refused++
	if s.streamStarted {
		c.emit(Abort{Handle: s.request.Handle})
	} else {
		c.emit(Refuse{Handle: s.request.Handle, Refusal: r})
	}
	c.endRequest(s, r.Reason, true, now)
}

// endAttempt ends the attempt in progress.
func (c *Core) endAttempt(s *requestState) {
	c.releaseAttempt(s.attempt)
	s.attempt = nil
}

// releaseAttempt removes an attempt from the load of its upstream.
func (c *Core) releaseAttempt(a *attempt) {
	if a == nil {
		return
	}
	a.member.open--
	if !a.hasEvent {
		a.member.prefillTokens -= a.predicted.uncached
		a.member.queueDelays[a.priority].dequeue(a)
	}
}

// findAttempt returns the request of an attempt, and the attempt if it is still
// the one in progress.
func (c *Core) findAttempt(ref AttemptRef) (*requestState, *attempt) {
	s := c.requests[ref.Handle]
	if s == nil || s.attempt == nil || s.attempt.ref != ref {
		return s, nil
	}
	return s, s.attempt
}

// endRequest removes a request and logs its end.
func (c *Core) endRequest(s *requestState, reason Reason, notRun bool, now clock.Instant) {
	delete(c.requests, s.request.Handle)
	c.emit(c.logEntry(RequestEnded, s, reason, notRun, now))
}
