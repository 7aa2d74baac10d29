package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

const (
	// delayPerOpenRequest is the predicted delay of the first event for each of
	// this gateway's requests in progress at the upstream.
	delayPerOpenRequest = 2 * time.Millisecond
	// errorRateLimit is the error rate above which server errors may count against
	// the health of an upstream.
	errorRateLimit = 0.4
	// connectionShare is the part of an upstream's connections that the known
	// gateways use. The rest is for gateways that the others do not know of yet.
	connectionShare = 0.8
	// maxSends limits the attempts of one request, including those not run.
	maxSends = 4
	// minTimeLeft is the least time before the deadline at which a request is still
	// sent.
	minTimeLeft = 20 * time.Millisecond
	// firstEventShare is the part of the latency target after which a request that
	// may be repeated is retried.
	firstEventShare = 0.8
	// minEventTimeout is the least time without an event before a retry.
	minEventTimeout = 120 * time.Millisecond
)

// place sends a request to the upstream with the lowest predicted latency. It
// returns false if no upstream is eligible, a first attempt would miss its target
// because of queueing, a retry exceeds the budget or is quarantined, or the attempts
// or the time are used up.
func (c *Core) place(s *requestState, now clock.Instant) bool {
	if s.pool == nil || s.attempts >= maxSends || s.deadline.Sub(now) < minTimeLeft {
		return false
	}
	if s.attempts > 0 && c.isQuarantined(s, now) {
		return false
	}
	m, p := c.chooseUpstream(s, now)
	if m == nil {
		return false
	}
	if s.attempts == 0 && missesTarget(s, p) {
		s.predicted = p
		return false
	}
	if s.attempts > 0 && !s.pool.budget.takeRetry(c.gateways, now) {
		return false
	}
	c.send(s, m, p, now)
	return true
}

// chooseUpstream returns the eligible upstream with the lowest predicted time to
// the first event; nil if there is none. Ties go to the lowest hash of the ID.
func (c *Core) chooseUpstream(s *requestState, now clock.Instant) (*member, prediction) {
	keys := prefixKeys(s.request.Prompt)
	versions := c.versions(s, now)
	preferred := c.preferredUpstream(s, keys, versions, now)
	var best *member
	var bestPrediction prediction
	for _, m := range s.pool.list {
		if !versions.Allows(m.upstream.Version) || !c.isEligible(s, m, now) {
			continue
		}
		p := c.predict(s, m, keys, m == preferred, now)
		if best == nil || p.firstEvent < bestPrediction.firstEvent || (p.firstEvent == bestPrediction.firstEvent && m.idHash < best.idHash) {
			best, bestPrediction = m, p
		}
	}
	return best, bestPrediction
}

// preferredUpstream returns the upstream that rendezvous hashing assigns to the
// shared parts of a prompt, so that all gateways send prompts with the same prefix
// to the same upstream. A request without a prompt is hashed by its ID.
//
// On-demand and reclaimable upstreams rank alike. If on-demand ones came first,
// they would read all prompts as long as no upstream has anything cached.
func (c *Core) preferredUpstream(s *requestState, keys []uint64, versions rollout.Filter, now clock.Instant) *member {
	key := hashOf(s.request.ID)
	switch {
	case len(keys) > 1:
		key = keys[len(keys)-2]
	case len(keys) == 1:
		key = keys[0]
	}
	var best *member
	for _, m := range s.pool.list {
		isUsable := versions.Allows(m.upstream.Version) && c.isEligible(s, m, now)
		if isUsable && (best == nil || m.rendezvousScore(key) > best.rendezvousScore(key)) {
			best = m
		}
	}
	return best
}

// isEligible reports whether a request may be sent to an upstream: it is healthy,
// has capacity and was not tried before.
func (c *Core) isEligible(s *requestState, m *member, now clock.Instant) bool {
	if m.misdirected || m.draining || now.Before(m.pausedUntil) || m.open >= c.capacity(s.pool, m) {
		return false
	}
	for _, t := range s.tried {
		if t == m {
			return false
		}
	}
	return s.pool.health.Weight(&m.record, now) > 0
}

// capacity returns the number of requests that this gateway may have in progress
// at an upstream.
func (c *Core) capacity(p *pool, m *member) int {
	capacity := m.upstream.Slots
	if s := c.catalog.Services[p.service]; s != nil && s.MaxConnections > 0 {
		capacity = min(capacity, int(connectionShare*float64(s.MaxConnections)/float64(c.gateways)))
	}
	return max(capacity, 1)
}

// predict estimates the time to the first event at an upstream. The preferred
// upstream is assumed to have the shared parts of a prompt cached, since other
// gateways send them there too. Without a prompt it only wins ties.
func (c *Core) predict(s *requestState, m *member, keys []uint64, isPreferred bool, now clock.Instant) prediction {
	p := prediction{open: m.open}
	if s.request.Prompt == nil {
		p.firstEvent = m.plainLatency * time.Duration(m.open+1)
		if !isPreferred {
			p.firstEvent += time.Microsecond
		}
		return p
	}
	prompt := s.request.Prompt
	p.cached = m.cachedTokens(prompt, keys, now)
	if isPreferred && len(prompt.Parts) > 1 {
		p.cached = max(p.cached, sharedTokens(prompt))
	}
	p.uncached = max(prompt.Tokens-p.cached, 0)
	speed := &s.pool.speed
	p.unloaded = speed.firstEvent(p.uncached)
	p.queueWait = max(m.expectedDelay(priority(s), now), speed.readTime(m.prefillTokens)) + time.Duration(m.open)*delayPerOpenRequest
	p.firstEvent = p.unloaded + p.queueWait
	return p
}

// missesTarget reports whether a request would miss its latency target mainly by
// waiting behind other requests.
func missesTarget(s *requestState, p prediction) bool {
	target := s.route.LatencyTarget
	if s.request.Prompt == nil || target <= 0 {
		return false
	}
	return p.firstEvent > target && p.queueWait > target/2
}

// sharedTokens returns the length of all parts of a prompt but the last.
func sharedTokens(p *Prompt) int {
	n := 0
	for _, part := range p.sharedParts() {
		n += part.Tokens
	}
	return n
}

// send starts an attempt at an upstream.
func (c *Core) send(s *requestState, m *member, p prediction, now clock.Instant) {
	if s.attempts == 0 {
		s.pool.budget.recordRequest(now)
	}
	s.attempts++
	s.possibleRuns++
	s.tried = append(s.tried, m)
	s.upstream = m.upstream.ID
	s.firstEventTook = 0
	s.predicted = p
	s.attempt = &attempt{ref: s.ref(), member: m, sent: now, lastActivity: now, predicted: p, resumes: s.streamStarted}
	m.open++
	m.prefillTokens += p.uncached
	if s.request.Prompt != nil {
		s.attempt.hasPrompt = true
		s.attempt.priority = priority(s)
		m.queueDelays[s.attempt.priority].enqueue(s.attempt)
	}
	s.pool.prefillDemand.add(float64(p.uncached), now)
	m.recordPrefixes(prefixKeys(s.request.Prompt), now)
	s.pool.health.Started(&m.record)
	c.counts.Sent++
	c.setRetryTimer(s, c.firstEventTimeout(s), now)
	customer := ""
	if s.customer != nil {
		customer = s.customer.Name
	}
	c.emit(Send{
		Ref:         s.attempt.ref,
		Upstream:    m.upstream,
		Timeout:     s.deadline.Sub(now),
		Customer:    customer,
		LastEventID: s.lastEvent,
		Streaming:   isStream(s.route),
		Priority:    priority(s),
	})
}

// firstEventTimeout returns how long an upstream has for the first event before
// the request may be retried.
func (c *Core) firstEventTimeout(s *requestState) time.Duration {
	return max(time.Duration(firstEventShare*float64(s.route.LatencyTarget)), minEventTimeout)
}

// setRetryTimer sets when the request is retried if no event arrives, provided that
// the route allows a retry. checkDeadlines renews a timer that fires too early.
func (c *Core) setRetryTimer(s *requestState, after time.Duration, now clock.Instant) {
	a := s.attempt
	if !s.route.MayRepeat() || s.possibleRuns >= s.route.MaxAttempts || s.route.LatencyTarget <= 0 {
		a.retryAt = 0
		return
	}
	isNew := a.retryAt == 0
	a.retryAt = now.Add(after)
	if isNew {
		c.timers.add(timer{at: a.retryAt, handle: s.request.Handle})
	}
}

// priority returns the priority of the customer, or of the route if the customer
// has none.
func priority(s *requestState) int {
	priority := s.route.Priority
	if s.customer != nil && s.customer.Priority != nil {
		priority = *s.customer.Priority
	}
	return min(max(priority, 0), lowestPriority)
}
