package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// lowestPriority is the priority of requests that an engine runs last.
	lowestPriority = 9
	// maxHeldBytes bounds the comments before the first event of a stream that are
	// held back, so that the request can still be sent to another upstream.
	maxHeldBytes = 64 << 10
	// plainLatencyWeight is the weight of one response in the latency of requests
	// without a prompt.
	plainLatencyWeight = 0.1
)

// HeadReceived reports the head of an attempt's response.
func (c *Core) HeadReceived(ref AttemptRef, h ResponseHead, now clock.Instant) {
	s, a := c.findAttempt(ref)
	if a == nil {
		return
	}
	c.observeUpstream(a.member, h, now)
	a.head = h
	a.hasHead = true
	s.status = h.Status
}

// BodyReceived reports a part of the body of an attempt's response. A successful
// stream is passed on at once, without events that the caller already has. The
// body of any other response is collected until its end.
func (c *Core) BodyReceived(ref AttemptRef, chunk BodyChunk, now clock.Instant) {
	s, a := c.findAttempt(ref)
	if a == nil || !a.hasHead {
		return
	}
	if !isStream(s.route) || !a.head.hasEvents() {
		a.body = append(a.body, chunk.Bytes...)
		return
	}
	if a.resumes && chunk.Unnumbered {
		// It can't be told where that belongs.
		c.emit(Cancel{Ref: a.ref})
		c.handleBroken(s, Failure{Detail: "event without a number in a resumed stream"}, now)
		return
	}
	if chunk.isProgress() {
		a.lastActivity = now
		a.progress++
	}
	if chunk.LastEvent > 0 && chunk.LastEvent <= s.lastEvent {
		return
	}
	if chunk.isProgress() {
		c.recordProgress(s, a, now)
	}
	if chunk.LastEvent > 0 {
		s.lastEvent = chunk.LastEvent
	}
	if s.abandoned {
		return
	}
	if !s.streamStarted && !chunk.isProgress() && len(a.body) < maxHeldBytes {
		a.body = append(a.body, chunk.Bytes...)
		return
	}
	c.startStream(s, a)
	c.emit(WriteStream{Handle: ref.Handle, Bytes: chunk.Bytes})
}

// startStream sends the caller the head of the stream, and the comments before its
// first event.
func (c *Core) startStream(s *requestState, a *attempt) {
	if s.streamStarted {
		return
	}
	s.streamStarted = true
	c.emit(StartStream{Ref: a.ref})
	if len(a.body) > 0 {
		c.emit(WriteStream{Handle: a.ref.Handle, Bytes: a.body})
		a.body = nil
	}
}

// recordProgress records that an attempt has got events that the caller lacks.
func (c *Core) recordProgress(s *requestState, a *attempt, now clock.Instant) {
	c.recordFirstEvent(s, a, now)
	if a.retryAt != 0 {
		c.setRetryTimer(s, max(s.route.GapTarget, minEventTimeout), now)
	}
}

// recordFirstEvent records the first event of an attempt.
func (c *Core) recordFirstEvent(s *requestState, a *attempt, now clock.Instant) {
	if a.hasEvent {
		return
	}
	a.hasEvent = true
	s.firstEventTook = now.Sub(a.sent)
	a.member.prefillTokens -= a.predicted.uncached
	a.member.queueDelays[a.priority].dequeue(a)
	c.recordRun(s, now)
	c.recordLatency(s.pool, a, now)
	s.pool.health.Succeeded(&a.member.record)
}

// recordRun records once per request that an upstream runs it.
func (c *Core) recordRun(s *requestState, now clock.Instant) {
	if s.firstEventAt != 0 {
		return
	}
	s.firstEventAt = now
	c.counts.Ran++
	if s.request.Prompt != nil {
		c.counts.PromptTokens += uint64(s.request.Prompt.Tokens)
		c.counts.CachedTokens += uint64(s.predicted.cached)
	}
	customer := ""
	if s.customer != nil {
		customer = s.customer.Name
	}
	c.emit(RecordUsage{Customer: customer})
}

// recordLatency updates the upstream's latency or, after a request with a prompt,
// its queueing delay, which is the time to the first event beyond that at an idle
// upstream, and the speed of the service's engines.
func (c *Core) recordLatency(p *pool, a *attempt, now clock.Instant) {
	m, took := a.member, now.Sub(a.sent)
	if !a.hasPrompt {
		m.plainLatency += time.Duration(plainLatencyWeight * float64(took-m.plainLatency))
		return
	}
	m.queueDelays[a.priority].observe(took-a.predicted.unloaded, now)
	p.speed.observe(a.predicted.uncached, took)
}

func isStream(r *catalog.Route) bool {
	return r.Kind == catalog.Stream
}
