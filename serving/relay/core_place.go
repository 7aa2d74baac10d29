package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// readTokensPerMilli is the number of prompt tokens that an engine reads in
	// a millisecond.
	readTokensPerMilli = 50.0
	// openDelay is what each open request adds to the time to the first event.
	openDelay = 2 * time.Millisecond
	// firstDelay is the time to the first event of a request with nothing to
	// read.
	firstDelay = 20 * time.Millisecond
	// errorLimit is the moving share of server errors from which an upstream may
	// be at fault.
	errorLimit = 0.4
	// connectionShare is the part of an upstream's connections that gateways use,
	// which leaves room for those that others do not know of yet.
	connectionShare = 0.8
	// maxSends bounds the sends of one request, those that were not run included.
	maxSends = 4
	// leastLeft is the least time in which an upstream may be expected to answer.
	leastLeft = 20 * time.Millisecond
	// patienceShare is the part of its target after which a request that may be
	// repeated is given to another upstream.
	patienceShare = 0.8
	// leastPatience bounds that time from below.
	leastPatience = 120 * time.Millisecond
)

// place sends a request to the upstream that is expected to answer first. It
// returns false when there is none.
func (c *Core) place(s *state, now clock.Instant) bool {
	if s.pool == nil || s.attempts >= maxSends || s.limit.Sub(now) < leastLeft {
		return false
	}
	m, p := c.choose(s, now)
	if m == nil {
		return false
	}
	if s.attempts == 0 && isHopeless(s, p) {
		s.predicted = p
		return false
	}
	if s.attempts > 0 && !s.pool.budget.take(c.gateways, now) {
		return false
	}
	c.send(s, m, p, now)
	return true
}

// choose returns the best upstream that was not tried yet, nil if there is none.
func (c *Core) choose(s *state, now clock.Instant) (*member, prediction) {
	keys := prefixKeys(s.request.Prompt)
	home := c.home(s, keys, now)
	var best *member
	var bestOf prediction
	for _, m := range s.pool.order {
		if !c.mayGet(s, m, now) {
			continue
		}
		p := c.predict(s, m, keys, m == home, now)
		if best == nil || p.first < bestOf.first || (p.first == bestOf.first && m.seed < best.seed) {
			best, bestOf = m, p
		}
	}
	return best, bestOf
}

// home is the upstream that all gateways would choose for the shared parts of a
// prompt if none were loaded. On-demand and reclaimable ones count alike: were it
// always an on-demand one, those would have all of the reading while nobody
// holds anything.
func (c *Core) home(s *state, keys []uint64, now clock.Instant) *member {
	key := hashOf(s.request.ID)
	switch {
	case len(keys) > 1:
		key = keys[len(keys)-2]
	case len(keys) == 1:
		key = keys[0]
	}
	var best *member
	for _, m := range s.pool.order {
		if c.mayGet(s, m, now) && (best == nil || m.rank(key) > best.rank(key)) {
			best = m
		}
	}
	return best
}

func (c *Core) mayGet(s *state, m *member, now clock.Instant) bool {
	if m.misdirected || now.Before(m.fullUntil) || m.open >= c.room(s.pool, m) {
		return false
	}
	for _, t := range s.tried {
		if t == m {
			return false
		}
	}
	return s.pool.group.Weight(&m.record, now) > 0
}

// room is the number of this gateway's requests that an upstream may have at
// once.
func (c *Core) room(p *pool, m *member) int {
	room := m.upstream.Slots
	if s := c.catalog.Services[p.service]; s != nil && s.MaxConnections > 0 {
		room = min(room, int(connectionShare*float64(s.MaxConnections)/float64(c.gateways)))
	}
	return max(room, 1)
}

// predict estimates the time to the first event at an upstream.
func (c *Core) predict(s *state, m *member, keys []uint64, isHome bool, now clock.Instant) prediction {
	p := prediction{open: m.open}
	if s.request.Prompt == nil {
		p.first = m.plain * time.Duration(m.open+1)
		if !isHome {
			p.first += time.Microsecond
		}
		return p
	}
	prompt := s.request.Prompt
	p.cached = m.cached(prompt, keys, now)
	if isHome && len(prompt.Parts) > 1 {
		p.cached = max(p.cached, sharedTokens(prompt))
	}
	p.uncached = max(prompt.Tokens-p.cached, 0)
	p.alone = firstDelay + readTime(p.uncached)
	p.wait = max(m.delay(urgency(s), now), readTime(m.reading)) + time.Duration(m.open)*openDelay
	p.first = p.alone + p.wait
	return p
}

// readTime is the time in which an engine reads prompt tokens.
func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readTokensPerMilli * float64(time.Millisecond))
}

// isHopeless reports whether a request would wait so long for others that its
// target is missed.
func isHopeless(s *state, p prediction) bool {
	target := s.route.Target
	if s.request.Prompt == nil || target <= 0 {
		return false
	}
	return p.first > target && p.wait > target/2
}

// sharedTokens is the length of all parts of a prompt but the last.
func sharedTokens(p *Prompt) int {
	n := 0
	for _, part := range p.Parts[:len(p.Parts)-1] {
		n += part.Tokens
	}
	return n
}

func (c *Core) send(s *state, m *member, p prediction, now clock.Instant) {
	if s.attempts == 0 {
		s.pool.budget.first(now)
	}
	s.attempts++
	s.ran++
	s.tried = append(s.tried, m)
	s.upstream = m.upstream.ID
	s.predicted = p
	s.attempt = &attempt{ref: s.ref(), member: m, sent: now, heard: now, predicted: p}
	m.open++
	m.reading += p.uncached
	if s.request.Prompt != nil {
		s.attempt.urgency = urgency(s)
		m.delays[s.attempt.urgency].sent(s.attempt)
	}
	s.pool.read.add(float64(p.uncached), now)
	m.hold(prefixKeys(s.request.Prompt), now)
	s.pool.group.Started(&m.record)
	c.counts.Sent++
	c.setGiveUp(s, c.patience(s), now)
	customer := ""
	if s.customer != nil {
		customer = s.customer.Name
	}
	c.do(Send{
		Ref:      s.attempt.ref,
		Upstream: m.upstream,
		Left:     s.limit.Sub(now),
		Customer: customer,
		After:    s.lastEvent,
		Streams:  isStream(s.route),
		Urgency:  urgency(s),
	})
}

// patience is how long the present upstream has for its first event.
func (c *Core) patience(s *state) time.Duration {
	return max(time.Duration(patienceShare*float64(s.route.Target)), leastPatience)
}

// setGiveUp sets when another upstream is tried, if one may be.
func (c *Core) setGiveUp(s *state, after time.Duration, now clock.Instant) {
	a := s.attempt
	if !s.route.MayRepeat() || s.ran >= s.route.Attempts || s.route.Target <= 0 {
		a.giveUp = 0
		return
	}
	isNew := a.giveUp == 0
	a.giveUp = now.Add(after)
	if isNew {
		c.timers.add(timer{at: a.giveUp, handle: s.request.Handle})
	}
}

// urgency orders requests at a model engine by the rank of their customer or
// route.
func urgency(s *state) int {
	rank := s.route.Rank
	if s.customer != nil && s.customer.Rank != nil {
		rank = *s.customer.Rank
	}
	return min(max(rank, 0), maxUrgency)
}
