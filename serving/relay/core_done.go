package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// ResponseEnded reports the end of a complete response.
func (c *Core) ResponseEnded(ref AttemptRef, now clock.Instant) {
	s, a := c.findAttempt(ref)
	if a == nil {
		return
	}
	h := a.head
	switch {
	case h.Misdirected:
		a.member.misdirected = true
		c.handleNotRun(s, "another upstream has this address", now)
	case h.NotRun:
		a.member.pause(now.Add(fullBackoff))
		c.handleNotRun(s, "rejected by the upstream", now)
	case h.isSuccess() && !h.Sealed:
		c.handleBroken(s, Failure{Detail: "success response without a seal"}, now)
	case h.isSuccess() && isStream(s.route) && !h.NoEvents:
		c.completeStream(s, now)
	case h.isSuccess() && s.streamStarted:
		c.handleBroken(s, Failure{Detail: "success response without events in a resumed stream"}, now)
	default:
		c.completeReply(s, now)
	}
}

// completeStream ends a request whose stream is complete.
func (c *Core) completeStream(s *requestState, now clock.Instant) {
	a := s.attempt
	hadEvent := a.hasEvent
	c.recordFirstEvent(s, a, now)
	c.recordOutcome(s, false)
	c.endAttempt(s)
	c.counts.Answered++
	if !s.abandoned {
		c.startStream(s, a)
		c.emit(EndStream{Handle: a.ref.Handle})
	}
	c.endRequest(s, Answered, false, now)
	if hadEvent {
		c.recordSuccess(s, now)
	}
}

// completeReply retries a request after a server error if the route allows it.
// Otherwise it passes the response on unchanged and ends the request. A rejection of a
// request that may run only once is not passed on: the upstream has not said that the
// request has not run, and the status would say so to the caller.
func (c *Core) completeReply(s *requestState, now clock.Instant) {
	a := s.attempt
	isError := a.head.Status >= 500
	s.mayHaveRun = true
	s.firstEventTook = now.Sub(a.sent)
	c.recordOutcome(s, isError)
	c.recordRun(s, now)
	if !isStream(s.route) {
		c.recordLatency(s.pool, a, now)
	}
	s.pool.recordStatus(a.member, isError, now)
	if isError && c.retry(s, "server error", now) {
		return
	}
	c.endAttempt(s)
	if a.head.isRejection() && !s.route.MayRepeat() {
		s.detail = "rejected without saying that it was not run"
		c.fail(s, Broken, now)
		return
	}
	c.counts.Answered++
	switch {
	case s.abandoned:
	case s.streamStarted:
		c.emit(Abort{Handle: a.ref.Handle})
	default:
		c.emit(Reply{Ref: a.ref, Body: a.body})
	}
	c.endRequest(s, Answered, false, now)
	if a.head.isSuccess() {
		c.recordSuccess(s, now)
	}
}
