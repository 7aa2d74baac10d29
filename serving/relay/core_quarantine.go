package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
)

// Evidence returns what this gateway publishes of the prompt parts that may crash
// upstreams, with times of this process's clock.
func (c *Core) Evidence(now clock.Instant) []quarantine.Evidence {
	return c.quarantine.Evidence(now)
}

// EvidenceIsUrgent reports whether there is evidence that the other gateways should
// get at once, and resets that.
func (c *Core) EvidenceIsUrgent() bool {
	return c.quarantine.TakeUrgent()
}

// MergeEvidence adds the evidence of other gateways, with times of this process's
// clock.
func (c *Core) MergeEvidence(list []quarantine.Evidence, now clock.Instant) {
	c.quarantine.Merge(list, now)
	c.enforceQuarantine(now)
}

// QuarantinedParts returns the number of prompt parts that are quarantined.
func (c *Core) QuarantinedParts(now clock.Instant) int {
	return len(c.quarantine.Quarantined(now))
}

// checkQuarantine reports whether a new request may be sent. If not, it returns the
// time after which the caller may try again.
func (c *Core) checkQuarantine(s *requestState, now clock.Instant) (time.Duration, bool) {
	isTrial := hashOf(s.request.ID)%uint64(c.gateways) == 0
	return c.quarantine.Check(s.sharedParts, isTrial, now)
}

// isQuarantined reports whether a request that was sent before may not be sent
// again.
func (c *Core) isQuarantined(s *requestState, now clock.Instant) bool {
	_, ok := c.quarantine.Check(s.sharedParts, false, now)
	return !ok
}

// isCrash reports whether the upstream of the attempt in progress ended while it was
// starting to answer a prompt.
func isCrash(s *requestState, f Failure) bool {
	return f.Disconnected && s.attempt.isStarting() && s.request.Prompt != nil
}

// mayRepeatAfter reports whether a request may be sent to another upstream after a
// failure, as far as the prompt is concerned.
func (c *Core) mayRepeatAfter(s *requestState, f Failure) bool {
	return !isCrash(s, f) || c.quarantine.MayRepeat(s.sharedParts)
}

// recordCrash records a crash that the prompt may have caused.
func (c *Core) recordCrash(s *requestState, f Failure, now clock.Instant) {
	if isCrash(s, f) {
		c.quarantine.Crashed(s.pool.service, s.attempt.member.startHash, s.sharedParts, now)
	}
}

// recordSuccess records a complete answer to a prompt.
func (c *Core) recordSuccess(s *requestState, now clock.Instant) {
	if s.request.Prompt != nil {
		c.quarantine.Succeeded(s.pool.service, s.sharedParts, now)
		c.enforceQuarantine(now)
	}
}

// enforceQuarantine logs the changes of the quarantine and ends the requests in
// progress that have come under it, before they crash their upstreams.
func (c *Core) enforceQuarantine(now clock.Instant) {
	for _, change := range c.quarantine.Changes() {
		c.emit(QuarantineChanged{Change: change})
		if change.Kind != quarantine.Quarantined {
			continue
		}
		for _, s := range c.requests {
			if s.attempt != nil && s.attempt.isStarting() && s.hasPart(change.Part) {
				c.endQuarantined(s, now)
			}
		}
	}
}

// endQuarantined cancels the attempt of a request, which may have run.
func (c *Core) endQuarantined(s *requestState, now clock.Instant) {
	s.mayHaveRun = true
	s.detail = "canceled: a part of the prompt was quarantined"
	c.emit(Cancel{Ref: s.attempt.ref})
	s.pool.health.Abandoned(&s.attempt.member.record)
	c.endAttempt(s)
	c.fail(s, Broken, now)
}
