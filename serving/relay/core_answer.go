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

func isStream(r *catalog.Route) bool {
	return r.Kind == catalog.Stream
}
