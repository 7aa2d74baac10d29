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
	// probeTimeout is the time after which a request on trial that was neither
	// answered nor at a crash is followed by another.
	probeTimeout = 30 * time.Second
	// publishTime is how long news of a part are published. A quarantine is published
	// until it ends.
	publishTime = 15 * time.Second
	// maxSuspects bounds the parts that are tracked.
	maxSuspects = 256
	// urgentCrashes is the number of crashes of a part from which the other gateways
	// should learn of it at once.
	urgentCrashes = 2
)

// Tracker holds the evidence of one gateway and decides which parts are
// quarantined. It is used by one thread.
type Tracker struct {
	suspects  map[uint64]*suspect
	succeeded generations
	changes   []Change
	isUrgent  bool
}

// NewTracker makes a Tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{suspects: make(map[uint64]*suspect)}
}

// Crashed records that an upstream of a service ended while an answer to a prompt
// with the given parts was just starting there.
func (t *Tracker) Crashed(service string, upstream uint64, parts []Part, now clock.Instant) {
	for _, s := range t.suspects {
		if s.service == service && !contains(parts, s.part) {
			s.othersCrashed++
		}
	}
	for _, part := range parts {
		s := t.suspect(part.ID, service, now)
		if s == nil {
			continue
		}
		s.depth = max(s.depth, part.Depth)
		s.addCrash(upstream, now, now)
		t.isUrgent = t.isUrgent || len(s.crashes) >= urgentCrashes
	}
	t.decide(now)
}

// Succeeded records a complete answer to a prompt with the given parts.
func (t *Tracker) Succeeded(service string, parts []Part, now clock.Instant) {
	for _, part := range parts {
		t.succeeded.put(part.ID, now)
	}
	for _, s := range t.suspects {
		switch {
		case contains(parts, s.part):
			t.succeed(s, now, now, true)
		case s.service == service:
			s.othersSucceeded++
		}
	}
}

// succeed records that a suspected part was answered, and releases it.
func (t *Tracker) succeed(s *suspect, at, now clock.Instant, own bool) {
	had, crashes := s.hasVerdict(), len(s.crashes)
	s.succeed(at)
	if len(s.crashes) < crashes || had != s.hasVerdict() {
		s.changedAt = now
	}
	if had && !s.hasVerdict() {
		t.changes = append(t.changes, Change{Kind: Released, Part: s.part, Service: s.service, Own: own})
	}
}

// Check reports whether a request with the given parts may be sent. If not, it
// returns the time until the quarantine ends. isTrial selects the requests that may
// be let through on trial when a quarantine has ended: one of as many as there are
// gateways, so that few gateways do so at once.
func (t *Tracker) Check(parts []Part, isTrial bool, now clock.Instant) (time.Duration, bool) {
	if len(t.suspects) == 0 {
		return 0, true
	}
	for _, part := range parts {
		s := t.suspects[part.ID]
		if s == nil {
			continue
		}
		if len(s.crashes) >= minCrashes && !s.hasVerdict() {
			t.decide(now)
		}
		if !s.hasVerdict() {
			continue
		}
		if now.Before(s.quarantinedUntil) {
			return s.quarantinedUntil.Sub(now), false
		}
		if isProbing := s.wasProbed() && now.Sub(s.probedAt) < probeTimeout; isProbing || !isTrial {
			return probeTimeout, false
		}
		s.probedAt = now
		t.isUrgent = true
		t.changes = append(t.changes, Change{Kind: Probing, Part: s.part, Service: s.service, Crashes: len(s.crashes), Own: true})
	}
	return 0, true
}

// decide quarantines the parts whose crashes are more than chance explains, the
// most suspect first. What these explain does not count against the others.
func (t *Tracker) decide(now clock.Instant) {
	explained := make(map[uint64]bool)
	open := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		s.expire(now)
		if s.hasVerdict() {
			t.renew(s, now)
			explain(explained, s)
			continue
		}
		open = append(open, s)
	}
	sort.Slice(open, func(i, j int) bool { return moreSuspect(open[i], open[j]) })
	for _, s := range open {
		if n := s.unexplained(explained); s.isGuilty(n) {
			t.quarantine(s, now)
			explain(explained, s)
		}
	}
}

// moreSuspect orders parts for decide: those that were never answered first, then
// by crashes. Among parts that were always together the deepest comes first, since
// the fewest prompts have it: if it was another one, that one's next crash without
// it shows.
func moreSuspect(a, b *suspect) bool {
	if isFirst := a.succeededAt == never; isFirst != (b.succeededAt == never) {
		return isFirst
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

// renew quarantines a part anew that has crashed an upstream on trial.
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
	t.isUrgent = true
	t.changes = append(t.changes, Change{
		Kind: Quarantined, Part: s.part, Service: s.service, Crashes: len(s.crashes), Own: true, Until: s.quarantinedUntil,
	})
}

// suspect returns the suspect of a part, made if it is not known. It returns nil if
// there is no room.
func (t *Tracker) suspect(part uint64, service string, now clock.Instant) *suspect {
	if s := t.suspects[part]; s != nil {
		return s
	}
	if len(t.suspects) >= maxSuspects && !t.dropOne(now) {
		return nil
	}
	s := newSuspect(part, service, t.succeeded.get(part))
	t.suspects[part] = s
	return s
}

// dropOne removes the suspect with the fewest crashes. It returns false if all are
// quarantined.
func (t *Tracker) dropOne(now clock.Instant) bool {
	var least *suspect
	for _, s := range t.suspects {
		if !s.isQuarantined(now) && (least == nil || moreSuspect(least, s)) {
			least = s
		}
	}
	if least == nil {
		return false
	}
	delete(t.suspects, least.part)
	return true
}

// Changes returns the changes since the last call.
func (t *Tracker) Changes() []Change {
	list := t.changes
	t.changes = nil
	return list
}

// TakeUrgent reports whether there is evidence that the other gateways should get
// at once, and resets that.
func (t *Tracker) TakeUrgent() bool {
	urgent := t.isUrgent
	t.isUrgent = false
	return urgent
}

// contains reports whether a part is among those of a prompt.
func contains(parts []Part, id uint64) bool {
	for _, part := range parts {
		if part.ID == id {
			return true
		}
	}
	return false
}
