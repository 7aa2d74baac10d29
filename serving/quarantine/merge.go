package quarantine

import (
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// maxPublished bounds the evidence that a gateway publishes.
const maxPublished = 16

// Merge adds evidence of other gateways, with times of this process's clock.
func (t *Tracker) Merge(list []Evidence, now clock.Instant) {
	if len(list) == 0 {
		return
	}
	for _, e := range list {
		t.mergeOne(e, now)
	}
	t.decide(now)
}

func (t *Tracker) mergeOne(e Evidence, now clock.Instant) {
	s := t.suspects[e.Part]
	if s == nil {
		if !isRelevant(e, now) {
			return
		}
		if s = t.suspect(e.Part, e.Service, now); s == nil {
			return
		}
	}
	s.isPublished = true
	s.depth = max(s.depth, e.Depth)
	if isRelevant(e, now) && s.succeededAt.After(instant(e.SucceededAt)) {
		// The others don't know of the last answer.
		s.changedAt = now
	}
	if at := instant(e.SucceededAt); at.After(t.succeeded.get(e.Part)) {
		t.succeeded.put(e.Part, at)
	}
	t.succeed(s, instant(e.SucceededAt), now, false)
	for _, c := range e.Crashes {
		t.recordCrash(c.Upstream, instant(c.At), now)
		s.addCrash(c.Upstream, instant(c.At), now)
	}
	s.probedAt = max(s.probedAt, instant(e.ProbedAt))
	t.mergeQuarantine(s, e, now)
}

// mergeQuarantine takes over a quarantine that another gateway has decided later
// than the one that is known.
func (t *Tracker) mergeQuarantine(s *suspect, e Evidence, now clock.Instant) {
	until := instant(e.QuarantinedUntil)
	if !until.After(s.quarantinedUntil) {
		return
	}
	was := s.isQuarantined(now)
	s.quarantinedAt, s.quarantinedUntil = instant(e.QuarantinedAt), until
	s.quarantines = max(s.quarantines, e.Quarantines)
	if !was && s.isQuarantined(now) {
		t.logChange(Quarantined, s, false)
	}
}

// isRelevant reports whether evidence has a crash that still counts, or a quarantine
// that has not ended.
func isRelevant(e Evidence, now clock.Instant) bool {
	if instant(e.QuarantinedUntil).After(now) {
		return true
	}
	for _, c := range e.Crashes {
		if now.Sub(instant(c.At)) < crashLifetime {
			return true
		}
	}
	return false
}

// Evidence returns what this gateway publishes, with times of this process's clock,
// and forgets the parts of which there is nothing left to tell.
func (t *Tracker) Evidence(now clock.Instant) []Evidence {
	t.forget(now)
	list := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		if s.isConfirmed() || now.Sub(s.changedAt) < publishTime {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if a, b := list[i].isConfirmed(), list[j].isConfirmed(); a != b {
			return a
		}
		return ranksBefore(list[i], list[j])
	})
	list = list[:min(len(list), maxPublished)]
	out := make([]Evidence, 0, len(list))
	for _, s := range list {
		s.isPublished = true
		out = append(out, s.evidence())
	}
	return out
}

// forget removes the suspects that nothing is held against any more.
func (t *Tracker) forget(now clock.Instant) {
	for part, s := range t.suspects {
		s.crashes.expire(now)
		isSuspected := len(s.crashes) > 0 || s.isConfirmed() && now.Sub(s.quarantinedUntil) < crashLifetime
		isNews := s.isPublished && now.Sub(s.changedAt) < publishTime
		if !isSuspected && !isNews {
			delete(t.suspects, part)
		}
	}
}

// Quarantined returns the parts that are quarantined, each with the time that is
// left.
func (t *Tracker) Quarantined(now clock.Instant) map[uint64]time.Duration {
	out := make(map[uint64]time.Duration)
	for part, s := range t.suspects {
		if s.isQuarantined(now) {
			out[part] = s.quarantinedUntil.Sub(now)
		}
	}
	return out
}
