package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

func (c *Core) noteRetry(s *state, now clock.Instant) {
	c.counts.Retried++
	c.do(c.note(NoteRetried, s, "", false, now))
}

func (c *Core) note(event NoteEvent, s *state, reason Reason, notRun bool, now clock.Instant) Note {
	n := Note{
		Event:     event,
		Handle:    s.request.Handle,
		ID:        s.request.ID,
		Upstream:  s.upstream,
		Attempts:  s.attempts,
		Reason:    reason,
		NotRun:    notRun,
		Status:    s.status,
		Took:      now.Sub(s.arrived),
		Predicted: s.predicted.first,
		Cached:    s.predicted.cached,
		Open:      s.predicted.open,
		ViewAge:   now.Sub(c.viewed),
		Detail:    s.detail,
	}
	if s.route != nil {
		n.Route = s.route.Name
	}
	if s.customer != nil {
		n.Customer = s.customer.Name
	}
	if s.first != 0 {
		n.First = s.first.Sub(s.arrived)
	}
	if c.catalog != nil {
		n.Config = c.catalog.Version
	}
	return n
}
