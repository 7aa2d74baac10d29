package dispatch

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Snapshot returns the state for the debug dump.
func (c *Core) Snapshot(now clock.Instant) Snapshot {
	s := Snapshot{
		ConfigurationVersion: c.ConfigurationVersion(),
		Draining:             c.isDraining,
		Requests:             make(map[string]int),
		Waiting:              c.queue.Len(),
		Upstreams:            make(map[string]int),
		Counts:               c.counts,
		Open:                 []OpenRequest{},
	}
	for _, e := range c.entries {
		s.Requests[e.phase.String()]++
		if e.phase != phaseEnded && len(s.Open) < MaxListedRequests {
			s.Open = append(s.Open, openRequest(e, now))
		}
	}
	for _, instance := range c.instances {
		s.Upstreams[string(instance.State)]++
	}
	return s
}

// Counts returns the event counters.
func (c *Core) Counts() Counts {
	return c.counts
}

func openRequest(e *entry, now clock.Instant) OpenRequest {
	open := OpenRequest{
		Customer:  e.request.ID.Customer,
		Key:       e.request.ID.Key,
		Phase:     e.phase.String(),
		Attempt:   e.attempt,
		Tokens:    e.answer.Tokens(),
		AgeMillis: now.Sub(e.arrivedAt).Milliseconds(),
	}
	if e.phase == phaseRunning {
		open.Upstream = e.choice.ID
	}
	return open
}
