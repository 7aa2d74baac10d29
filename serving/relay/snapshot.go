package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

// Snapshot is the state of a Core for debugging.
type Snapshot struct {
	ConfigVersion   uint64           `json:"config"`
	Gateways        int              `json:"gateways"`
	Draining        bool             `json:"leaving"`
	Open            int              `json:"open"`
	UpstreamListAge time.Duration    `json:"view_age_ns"`
	Counts          Counts           `json:"counts"`
	Members         []MemberSnapshot `json:"upstreams"`
	// Limits are the states of the customers' limits.
	Limits map[string]limit.Facts `json:"limits"`
	// Rollouts are the stages of the roll-outs in force, and RolloutEvidence what this
	// gateway has counted in them.
	Rollouts        []rollout.Stage    `json:"rollouts,omitempty"`
	RolloutEvidence []rollout.Evidence `json:"rollout_evidence,omitempty"`
	// Quarantined holds the time left of the quarantine of each prompt part.
	Quarantined map[uint64]time.Duration `json:"quarantined_ns"`
}

// Snapshot returns the current state.
func (c *Core) Snapshot(now clock.Instant) Snapshot {
	s := Snapshot{
		Gateways:        c.gateways,
		Draining:        c.drainUntil != 0,
		Open:            len(c.requests),
		UpstreamListAge: now.Sub(c.upstreamsAt),
		Counts:          c.counts,
		Quarantined:     c.quarantine.Quarantined(now),
		Limits:          c.limits.Facts(now),
		Rollouts:        c.RolloutStages(),
		RolloutEvidence: c.RolloutEvidence(),
	}
	if c.catalog != nil {
		s.ConfigVersion = c.catalog.Version
	}
	for _, p := range c.pools {
		for _, m := range p.list {
			s.Members = append(s.Members, MemberSnapshot{
				ID:            m.upstream.ID,
				Service:       p.service,
				Address:       m.upstream.Address,
				Version:       m.upstream.Version,
				Open:          m.open,
				PrefillTokens: m.prefillTokens,
				Weight:        p.health.Weight(&m.record, now),
				ErrorRate:     m.errorRate,
				DelayMillis:   m.expectedDelay(lowestPriority, now).Milliseconds(),
			})
		}
	}
	return s
}
