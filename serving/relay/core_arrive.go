package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// comeBackSoon is when a caller may come back that found no room.
	comeBackSoon = 300 * time.Millisecond
	// comeBackStarting is when a caller may come back to a gateway that has no
	// configuration yet.
	comeBackStarting = 500 * time.Millisecond
	// usualStream is the time in which most streams end.
	usualStream = 4 * time.Second
	// defaultTimeout bounds a request when neither its caller nor its route do.
	defaultTimeout = 30 * time.Second
)

// Arrive takes a request.
func (c *Core) Arrive(r Request, now clock.Instant) {
	c.counts.Arrived++
	s := &state{request: r, arrived: now, lastEvent: r.After}
	if c.catalog == nil {
		c.refuse(s, Refusal{Reason: NotConfigured, RetryAfter: comeBackStarting}, now)
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
	if c.mayNotEnd(s, now) {
		c.refuse(s, Refusal{Reason: Leaving, RetryAfter: comeBackSoon}, now)
		return
	}
	s.limit = now.Add(c.timeout(s))
	s.pool = c.pools[service(s.route, r.ID)]
	if wait, ok := c.charge(s, now); !ok {
		c.refuse(s, Refusal{Reason: Throttled, RetryAfter: wait}, now)
		return
	}
	c.states[r.Handle] = s
	c.timers.add(timer{at: s.limit, handle: r.Handle})
	if !c.place(s, now) {
		c.refuseUnplaced(s, now)
	}
}

// tooLarge reports whether a request is over what callers may send.
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

// mayNotEnd reports whether this gateway stops before the request is sure to
// end. A stream is taken for as long as there is no other gateway to take it and
// time for a usual one.
func (c *Core) mayNotEnd(s *state, now clock.Instant) bool {
	if c.leaveAt == 0 {
		return false
	}
	left := c.leaveAt.Sub(now)
	if isStream(s.route) {
		return c.others > 0 || left < usualStream
	}
	return left < c.timeout(s)
}

// timeout is how long the caller is kept waiting for the whole answer.
func (c *Core) timeout(s *state) time.Duration {
	limit := s.route.Timeout
	if s.request.Patience > 0 && (limit <= 0 || s.request.Patience < limit) {
		limit = s.request.Patience
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

// service picks the service for a request by the weights of its route. The same
// request gets the same one everywhere.
func service(r *catalog.Route, id string) string {
	total := 0
	for _, b := range r.Portions {
		total += b.Weight
	}
	if total <= 0 {
		if len(r.Portions) == 0 {
			return ""
		}
		return r.Portions[0].Service
	}
	at := int(hashOf(id) % uint64(total))
	for _, b := range r.Portions {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	return ""
}

// charge takes what a request costs from its customer's limit.
func (c *Core) charge(s *state, now clock.Instant) (time.Duration, bool) {
	if s.customer == nil || s.customer.Rate <= 0 {
		return 0, true
	}
	d := c.demands[s.customer.Name]
	if d == nil {
		d = &demand{at: now}
		c.demands[s.customer.Name] = d
	}
	d.add(cost(s), now)
	m := c.meter(s.customer, now)
	return m.take(cost(s), c.isCalm(m, s.customer, now), now)
}

func (c *Core) meter(customer *catalog.Customer, now clock.Instant) *meter {
	m := c.meters[customer.Name]
	if m == nil {
		m = newMeter(c.share(customer.Name), c.slack(), c.gateways, c.config.LimitWindow, customer, now)
		c.meters[customer.Name] = m
	}
	return m
}

// cost is what a request counts in its customer's limit.
func cost(s *state) float64 {
	switch {
	case !s.customer.CountsTokens:
		return 1
	case s.request.Prompt == nil:
		return s.customer.PlainTokens
	default:
		return float64(s.request.Prompt.Tokens + s.request.Prompt.MaxOutput)
	}
}

// giveBack returns what a request that was not run had taken.
func (c *Core) giveBack(s *state) {
	if s.customer == nil || s.customer.Rate <= 0 {
		return
	}
	if m := c.meters[s.customer.Name]; m != nil {
		m.giveBack(cost(s))
	}
}
