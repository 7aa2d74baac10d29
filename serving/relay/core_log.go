package relay

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// logRetry counts and logs a retry.
func (c *Core) logRetry(s *requestState, now clock.Instant) {
	c.counts.Retried++
	c.emit(c.logEntry(RequestRetried, s, "", false, now))
}

// logBroken logs that the attempt in progress broke off.
func (c *Core) logBroken(s *requestState, disconnected bool) {
	c.emit(AttemptBroken{
		ID:           s.request.ID,
		Route:        s.route.Name,
		Upstream:     s.attempt.member.upstream.ID,
		Starting:     s.attempt.isStarting(),
		Disconnected: disconnected,
		SharedParts:  s.request.Prompt.sharedParts(),
		Detail:       s.detail,
	})
}

// logEntry returns a log entry for the current state of a request.
func (c *Core) logEntry(event LogEvent, s *requestState, reason Reason, notRun bool, now clock.Instant) LogEntry {
	entry := LogEntry{
		Event:               event,
		Handle:              s.request.Handle,
		ID:                  s.request.ID,
		Upstream:            s.upstream,
		Attempts:            s.attempts,
		Reason:              reason,
		NotRun:              notRun,
		Status:              s.status,
		Elapsed:             now.Sub(s.arrived),
		PredictedFirstEvent: s.predicted.firstEvent,
		CachedTokens:        s.predicted.cached,
		Open:                s.predicted.open,
		UpstreamListAge:     now.Sub(c.upstreamsAt),
		Detail:              s.detail,
		Limit:               s.limitFacts,
	}
	if s.route != nil {
		entry.Route = s.route.Name
	}
	if s.customer != nil {
		entry.Customer = s.customer.Name
	}
	if s.firstEventAt != 0 {
		entry.TimeToFirstEvent = s.firstEventAt.Sub(s.arrived)
	}
	if c.catalog != nil {
		entry.ConfigVersion = c.catalog.Version
	}
	return entry
}
