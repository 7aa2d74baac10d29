package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

// slowShare is the part of the latency target, and slowFactor the multiple of the
// predicted time to the first event, beyond which a response counts as slow in a roll-out.
const (
	slowShare  = 0.5
	slowFactor = 2
)

// SetRollouts replaces the orders of roll-outs in force, by service.
func (c *Core) SetRollouts(orders map[string]rollout.Order) {
	c.rollouts.SetOrders(orders)
}

// HearRollouts takes over stages of roll-outs, and what the other gateways have counted.
func (c *Core) HearRollouts(stages []rollout.Stage, others []rollout.Evidence) {
	for _, s := range stages {
		c.rollouts.SetStage(s)
	}
	c.rollouts.SetOthers(others)
}

// RolloutStages returns the newest known stages of the roll-outs in force.
func (c *Core) RolloutStages() []rollout.Stage {
	return c.rollouts.Stages()
}

// RolloutEvidence returns what this gateway has counted in the roll-outs in force.
func (c *Core) RolloutEvidence() []rollout.Evidence {
	return c.rollouts.Evidence(c.openAtOthers)
}

// openAtOthers returns the number of requests in progress at upstreams of a service that
// are not of a version.
func (c *Core) openAtOthers(service, version string) int {
	p := c.pools[service]
	if p == nil {
		return 0
	}
	open := 0
	for _, m := range p.list {
		if m.upstream.Version != version {
			open += m.open
		}
	}
	return open
}

// versions returns which versions a request may use. During a roll-out it falls back to
// the others if no upstream of the new version can take it.
func (c *Core) versions(s *requestState, now clock.Instant) rollout.Filter {
	f := c.rollouts.Filter(s.pool.service, hashOf(s.request.ID))
	if !f.IsActive || !f.UsesNew || !f.MayFallBack {
		return f
	}
	for _, m := range s.pool.list {
		if f.Allows(m.upstream.Version) && c.isEligible(s, m, now) {
			return f
		}
	}
	f.UsesNew = false
	return f
}

// recordOutcome counts how the attempt in progress has ended, in the roll-out of its
// service. An upstream that has just started is slow in any version.
func (c *Core) recordOutcome(s *requestState, failed bool) {
	m := s.attempt.member
	slow := s.firstEventTook > slowAfter(s) && !m.upstream.IsCold
	c.rollouts.Record(s.pool.service, m.upstream.Version, s.route.Name, rollout.Outcome{Failed: failed, IsSlow: slow})
}

// slowAfter returns the time to the first event from which a response counts as slow.
func slowAfter(s *requestState) time.Duration {
	return max(time.Duration(slowShare*float64(s.route.LatencyTarget)), slowFactor*s.predicted.firstEvent)
}
