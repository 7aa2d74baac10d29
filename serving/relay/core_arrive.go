package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// defaultRetryAfter is how long a caller should wait after most refusals.
	defaultRetryAfter = 300 * time.Millisecond
	// startingRetryAfter is how long a caller should wait for a gateway that has
	// no configuration yet.
	startingRetryAfter = 500 * time.Millisecond
	// typicalStreamTime is the time within which most streams end.
	typicalStreamTime = 4 * time.Second
	// finalReplyTime is left between the timeout of a request and the end of a drain,
	// for the reply.
	finalReplyTime = 100 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// RequestArrived reports a new request. It is refused or sent at once; the Core
// has no queue.
func (c *Core) RequestArrived(r Request, now clock.Instant) {
	c.counts.Arrived++
	s := &requestState{request: r, arrived: now, lastEvent: r.LastEventID}
	if c.catalog == nil {
		c.refuse(s, Refusal{Reason: NotConfigured, RetryAfter: startingRetryAfter}, now)
		return
	}
	if reason, isOver := tooLarge(r, c.catalog.Limits); isOver {
		c.refuse(s, Refusal{Reason: reason}, now)
		return
	}
	s.route = c.catalog.Route(r.Host, r.Path)
	if s.route == nil {
		c.refuse(s, Refusal{Reason: NoRoute}, now)
		return
	}
	if c.catalog.NeedsCredentials() {
		s.customer = c.catalog.Customer(r.Credential)
		if s.customer == nil && !s.route.Public {
			c.refuse(s, Refusal{Reason: Unauthorized}, now)
			return
		}
	}
	if c.mayOutlastDrain(s, now) {
		c.refuse(s, Refusal{Reason: Draining, RetryAfter: defaultRetryAfter}, now)
		return
	}
	s.sharedParts = r.Prompt.quarantineParts()
	if wait, ok := c.checkQuarantine(s, now); !ok {
		c.refuse(s, Refusal{Reason: Quarantined, RetryAfter: wait}, now)
		return
	}
	s.deadline = now.Add(c.timeout(s))
	s.pool = c.pools[pickService(s.route, r.ID)]
	c.requests[r.Handle] = s
	c.timers.add(timer{at: s.deadline, handle: r.Handle})
	c.charge(s, now)
}

// start sends a request that its customer's limit admits.
func (c *Core) start(s *requestState, now clock.Instant) {
	if !c.place(s, now) {
		c.refuseUnplaced(s, now)
	}
	c.enforceQuarantine(now)
}

// tooLarge reports whether a request exceeds the size limits, and which one.
func tooLarge(r Request, limits catalog.Limits) (Reason, bool) {
	switch {
	case limits.MaxHeadBytes > 0 && r.HeadBytes > limits.MaxHeadBytes:
		return HeadTooLarge, true
	case limits.MaxBodyBytes > 0 && r.BodyBytes > limits.MaxBodyBytes:
		return BodyTooLarge, true
	default:
		return "", false
	}
}

// mayOutlastDrain reports whether this gateway may stop before the request ends, which
// it does at its timeout at the latest.
func (c *Core) mayOutlastDrain(s *requestState, now clock.Instant) bool {
	if c.drainUntil == 0 {
		return false
	}
	left := c.drainUntil.Sub(now) - finalReplyTime
	if isStream(s.route) {
		return c.readyPeers > 0 || (left < c.timeout(s) && !c.mayTryLongStream(left, now))
	}
	return left < c.timeout(s)
}

// mayTryLongStream reports whether a stream is accepted that may outlast the drain:
// early in it, if there is time for a typical stream.
func (c *Core) mayTryLongStream(left time.Duration, now clock.Instant) bool {
	return now.Before(c.longStreamsUntil) && left >= typicalStreamTime
}

// timeout returns the shorter of the timeouts of the caller and the route.
func (c *Core) timeout(s *requestState) time.Duration {
	timeout := s.route.Timeout
	if s.request.Timeout > 0 && (timeout <= 0 || s.request.Timeout < timeout) {
		timeout = s.request.Timeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return timeout
}

// pickService picks a service by the weights of the route. It depends only on the
// request ID, so that all gateways pick the same one.
func pickService(r *catalog.Route, id string) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Services) == 0 {
			return ""
		}
		return r.Services[0].Service
	}
	at := int(hashOf(id) % uint64(total))
	for _, s := range r.Services {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}
