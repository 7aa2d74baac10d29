package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Snapshot is the state of a core, for a dump.
type Snapshot struct {
	Config   uint64           `json:"config"`
	Gateways int              `json:"gateways"`
	Leaving  bool             `json:"leaving"`
	Open     int              `json:"open"`
	ViewAge  time.Duration    `json:"view_age_ns"`
	Counts   Counts           `json:"counts"`
	Members  []MemberSnapshot `json:"upstreams"`
}

// Snapshot returns the state at an instant.
func (c *Core) Snapshot(now clock.Instant) Snapshot {
	s := Snapshot{
		Gateways: c.gateways,
		Leaving:  c.leaveAt != 0,
		Open:     len(c.states),
		ViewAge:  now.Sub(c.viewed),
		Counts:   c.counts,
	}
	if c.catalog != nil {
		s.Config = c.catalog.Version
	}
	for _, p := range c.pools {
		for _, m := range p.order {
			s.Members = append(s.Members, MemberSnapshot{
				ID:          m.upstream.ID,
				Service:     p.service,
				Address:     m.upstream.Address,
				Open:        m.open,
				Reading:     m.reading,
				Weight:      p.group.Weight(&m.record, now),
				Errors:      m.errors,
				DelayMillis: m.delay(maxUrgency, now).Milliseconds(),
			})
		}
	}
	return s
}
