package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

const (
	// maxAsks is the number of other gateways that are asked about one request.
	maxAsks = 3
	// askTimeout is how long a gateway has for its answer. It answers from memory.
	askTimeout = 150 * time.Millisecond
	// limitUnknownRetryAfter is when a caller should try again whose customer's limit
	// nobody could count: by then the other gateways have taken over from one that died.
	limitUnknownRetryAfter = 500 * time.Millisecond
)

// charge counts a request against its customer's limit, and starts or refuses it. If
// another gateway has to decide, the request waits for its answer.
func (c *Core) charge(s *requestState, now clock.Instant) {
	if s.customer == nil || s.customer.Rate <= 0 {
		c.start(s, now)
		return
	}
	d := c.limits.Charge(s.customer.Name, cost(s), hashOf(s.request.ID), s.asked, now)
	switch {
	case d.Outcome == limit.Admitted:
		c.start(s, now)
	case d.Outcome == limit.Ask && len(s.asked) < maxAsks:
		c.ask(s, d.Holder)
	case d.Outcome == limit.Exceeded || d.Outcome == limit.Empty:
		c.throttle(s, d, now)
	default:
		s.limitFacts = &d.Facts
		c.refuse(s, Refusal{Reason: LimitUnknown, RetryAfter: limitUnknownRetryAfter}, now)
	}
}

// ask asks another gateway about a request.
func (c *Core) ask(s *requestState, h limit.Holder) {
	s.asked = append(s.asked, h.Instance)
	s.isAsking = true
	c.counts.Asked++
	c.emit(AskHolder{Handle: s.request.Handle, Holder: h, Customer: s.customer.Name, Amount: cost(s), Timeout: askTimeout})
}

// throttle refuses a request that its customer's limit does not admit.
func (c *Core) throttle(s *requestState, d limit.Decision, now clock.Instant) {
	s.limitFacts = &d.Facts
	c.refuse(s, Refusal{Reason: Throttled, RetryAfter: d.RetryAfter}, now)
}

// LimitAnswered reports the answer of another gateway about a request.
func (c *Core) LimitAnswered(h Handle, d limit.Decision, now clock.Instant) {
	s := c.requests[h]
	if s == nil || !s.isAsking {
		return
	}
	s.isAsking = false
	isLast := len(s.asked) >= maxAsks
	switch {
	case d.Outcome == limit.Admitted:
		s.wasGranted = true
		c.start(s, now)
	case d.Outcome == limit.Exceeded || (d.Outcome == limit.Empty && isLast):
		d.Facts = c.limits.Denied(s.customer.Name, d, now)
		c.throttle(s, d, now)
	default:
		c.charge(s, now)
	}
}

// HolderFailed reports that another gateway has not answered about a request. What it
// may have counted stays counted there.
func (c *Core) HolderFailed(h Handle, instance string, now clock.Instant) {
	c.limits.Failed(instance, now)
	s := c.requests[h]
	if s == nil || !s.isAsking {
		return
	}
	s.isAsking = false
	c.charge(s, now)
}

// LendLimit decides on a request about which another gateway asks.
func (c *Core) LendLimit(customer string, amount float64, now clock.Instant) limit.Decision {
	c.counts.Lent++
	return c.limits.Lend(customer, amount, now)
}

// InheritUse takes over the use of limits that a former process of this gateway has
// published.
func (c *Core) InheritUse(former limit.Former, now clock.Instant) {
	c.limits.Inherit(former, now)
}

// PublishUse returns what this gateway is to publish of the customers' limits: its use,
// and what it may use beyond that.
func (c *Core) PublishUse(now clock.Instant) (map[string]limit.Use, map[string]limit.Reserve) {
	return c.limits.Publish(now)
}

// cost returns the cost of a request in the unit of its customer's limit. For
// tokens it is the most that the request may use.
func cost(s *requestState) float64 {
	switch {
	case !s.customer.CountsTokens:
		return 1
	case s.request.Prompt == nil:
		return s.customer.PlainTokens
	default:
		return float64(s.request.Prompt.Tokens + s.request.Prompt.MaxOutput)
	}
}

// refund returns the cost of a request that was not run.
func (c *Core) refund(s *requestState, now clock.Instant) {
	if s.customer != nil && s.customer.Rate > 0 {
		c.limits.Refund(s.customer.Name, cost(s), s.wasGranted, now)
	}
}

// SpentOfLimits returns the totals of what this process has used of the limits that it
// holds.
func (c *Core) SpentOfLimits() map[string]float64 {
	return c.limits.Spent()
}

// LimitsStored records that the store has a record of this gateway with the given
// reserves, as of the given totals of SpentOfLimits.
func (c *Core) LimitsStored(spent map[string]float64, reserves map[string]limit.Reserve, countedAt clock.Instant) {
	c.limits.Stored(spent, reserves, countedAt)
}

// LimitPartners returns the gateways that should hear soon of the use of limits at this
// one.
func (c *Core) LimitPartners() []limit.Holder {
	return c.limits.Partners()
}

// TellUse returns what this gateway tells them.
func (c *Core) TellUse(now clock.Instant) (map[string]limit.Use, map[string]limit.Reserve) {
	return c.limits.Tell(now)
}

// HearUse takes over what one of them has told, and counted at an instant.
func (c *Core) HearUse(instance string, used map[string]limit.Use, reserves map[string]limit.Reserve, countedAt, now clock.Instant) {
	c.limits.Hear(instance, used, reserves, countedAt, now)
}
