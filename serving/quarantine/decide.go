package quarantine

import (
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// firstQuarantine is the length of a part's first quarantine. Each further one
	// takes twice as long, up to maxQuarantine.
	firstQuarantine = 5 * time.Minute
	maxQuarantine   = time.Hour
)

// decide quarantines the parts whose crashes are more than chance explains, the
// most suspect first. What these explain does not count against the others.
func (t *Tracker) decide(now clock.Instant) {
	var confirmed, open []*suspect
	for _, s := range t.suspects {
		s.crashes.expire(now)
		if s.isConfirmed() {
			confirmed = append(confirmed, s)
		} else {
			open = append(open, s)
		}
	}
	sort.Slice(confirmed, func(i, j int) bool { return ranksBefore(confirmed[i], confirmed[j]) })
	sort.Slice(open, func(i, j int) bool { return ranksBefore(open[i], open[j]) })
	explained := make(map[uint64]bool)
	for _, s := range confirmed {
		t.review(s, explained, now)
		if s.isBlocked() {
			t.renew(s, now)
			explain(explained, s)
		}
	}
	for _, s := range open {
		s.dropExplained(explained)
		if t.meetsThreshold(s, s.crashes.moments(never, explained)) {
			t.quarantine(s, now)
			explain(explained, s)
		}
	}
}

// review decides whether a quarantine is still in force: a gateway may have decided
// it before it knew of the part that explains the crashes. Without its crashes, which
// expire, it stays as it was.
func (t *Tracker) review(s *suspect, explained map[uint64]bool, now clock.Instant) {
	was := s.isExplained
	if len(s.crashes) >= minCrashes {
		s.isExplained = s.crashes.moments(never, explained) < minCrashes
	}
	switch {
	case s.isExplained && !was:
		t.logChange(Released, s, true)
	case !s.isExplained && was && s.isQuarantined(now):
		t.logChange(Quarantined, s, true)
	}
}

// logChange appends a change for the log.
func (t *Tracker) logChange(kind ChangeKind, s *suspect, own bool) {
	t.changes = append(t.changes, Change{
		Kind: kind, Part: s.part, Service: s.service, Crashes: len(s.crashes), Own: own, Until: s.quarantinedUntil,
	})
}

// meetsThreshold reports whether a number of crashes of a part suffices for a quarantine.
func (t *Tracker) meetsThreshold(s *suspect, crashes int) bool {
	if crashes < minCrashes {
		return false
	}
	return s.isSignificant(crashes) || s.isCommonFactor(crashes, t.crashes.moments(s.crashes.first(), nil))
}

// ranksBefore orders parts for decide: those that were never answered first, then
// by crashes. Among parts that were always together the deepest comes first, since
// the fewest prompts have it: if it was another one, that one's next crash without
// it shows.
func ranksBefore(a, b *suspect) bool {
	if a.wasAnswered() != b.wasAnswered() {
		return b.wasAnswered()
	}
	if len(a.crashes) != len(b.crashes) {
		return len(a.crashes) > len(b.crashes)
	}
	if a.depth != b.depth {
		return a.depth > b.depth
	}
	return a.part < b.part
}

// explain adds the crashes of a quarantined part to the explained ones.
func explain(explained map[uint64]bool, s *suspect) {
	for upstream := range s.crashes {
		explained[upstream] = true
	}
}

// renew quarantines a part anew that has crashed an upstream as a probe.
func (t *Tracker) renew(s *suspect, now clock.Instant) {
	if !s.wasProbed() {
		return
	}
	for _, at := range s.crashes {
		if !at.Before(s.probedAt) {
			t.quarantine(s, now)
			return
		}
	}
}

func (t *Tracker) quarantine(s *suspect, now clock.Instant) {
	length := min(firstQuarantine<<min(s.quarantines, 10), maxQuarantine)
	s.quarantines++
	s.quarantinedAt, s.quarantinedUntil = now, now.Add(length)
	s.isExplained = false
	t.isUrgent = true
	t.logChange(Quarantined, s, true)
}
