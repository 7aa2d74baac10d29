package dispatch

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Snapshot returns the state for a dump.
func (c *Core) Snapshot(now clock.Instant) Snapshot {
	s := Snapshot{
		ConfigurationVersion: c.ConfigurationVersion(),
		Leaving:              c.isLeaving,
		Requests:             make(map[string]int),
		Waiting:              c.queue.Len(),
		Upstreams:            make(map[string]int),
		Counts:               c.counts,
		Open:                 []OpenRequest{},
	}
	for _, e := range c.entries {
		s.Requests[e.phase.String()]++
		if e.phase != phaseEnded && len(s.Open) < MaxOpenShown {
			s.Open = append(s.Open, openRequest(e, now))
		}
	}
	for _, instance := range c.instances {
		s.Upstreams[string(instance.State)]++
	}
	return s
}

// Counts returns the counters.
func (c *Core) Counts() Counts {
	return c.counts
}

func openRequest(e *entry, now clock.Instant) OpenRequest {
	open := OpenRequest{
		Customer:  e.request.ID.Customer,
		Key:       e.request.ID.Key,
		Phase:     e.phase.String(),
		Attempt:   e.attempt,
		Tokens:    e.log.Tokens(),
		AgeMillis: now.Sub(e.arrived).Milliseconds(),
	}
	if e.phase == phaseRunning {
		open.Upstream = e.choice.ID
	}
	return open
}
