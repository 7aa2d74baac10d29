package quarantine

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// probeTimeout is the time after which a request as a probe that was neither
	// answered nor at a crash is followed by another.
	probeTimeout = 30 * time.Second
	// publishTime is how long news of a part are published. A quarantine is published
	// until it ends.
	publishTime = 15 * time.Second
	// maxSuspects bounds the parts that are tracked.
	maxSuspects = 256
	// suspectCrashes is the number of crashes of a part from which the other gateways
	// should learn of it at once, and requests with it are not repeated.
	suspectCrashes = 2
	// maxRecordedCrashes bounds the upstreams that are remembered to have crashed.
	maxRecordedCrashes = 1024
)

// Tracker holds the evidence of one gateway and decides which parts are
// quarantined. It is used by one thread.
type Tracker struct {
	suspects  map[uint64]*suspect
	succeeded generations
	// crashes holds when upstreams were seen to crash.
	crashes  crashLog
	changes  []Change
	isUrgent bool
}

// NewTracker makes a Tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{suspects: make(map[uint64]*suspect), crashes: make(crashLog)}
}

// Crashed records that an upstream of a service ended while an answer to a prompt
// with the given parts was just starting there.
func (t *Tracker) Crashed(service string, upstream uint64, parts []Part, now clock.Instant) {
	t.recordCrash(upstream, now, now)
	for _, s := range t.suspects {
		if s.service == service && !contains(parts, s.part) {
			s.othersCrashed++
		}
	}
	isExplained := t.hasBlocked(parts)
	for _, part := range parts {
		if isExplained && !t.isBlocked(part.ID) {
			continue
		}
		s := t.suspect(part.ID, service, now)
		if s == nil {
			continue
		}
		s.depth = max(s.depth, part.Depth)
		s.addCrash(upstream, now, now)
		t.isUrgent = t.isUrgent || len(s.crashes) >= suspectCrashes
	}
	t.decide(now)
}

// hasBlocked reports whether a prompt has a part that is sent only as a probe.
func (t *Tracker) hasBlocked(parts []Part) bool {
	for _, part := range parts {
		if t.isBlocked(part.ID) {
			return true
		}
	}
	return false
}

// isBlocked reports whether requests with a part are sent only as a probe.
func (t *Tracker) isBlocked(part uint64) bool {
	s := t.suspects[part]
	return s != nil && s.isBlocked()
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
	had, crashes := s.isConfirmed(), len(s.crashes)
	s.succeed(at)
	if len(s.crashes) < crashes || had != s.isConfirmed() {
		s.changedAt = now
	}
	if had && !s.isConfirmed() {
		t.logChange(Released, s, own)
	}
}

// Check reports whether a request with the given parts may be sent. If not, it
// returns the time until the quarantine ends. isTrial selects the requests that may
// be let through as a probe when a quarantine has ended: one of as many as there are
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
		if len(s.crashes) >= minCrashes && !s.isConfirmed() {
			t.decide(now)
		}
		if !s.isBlocked() {
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
		t.logChange(Probing, s, true)
	}
	return 0, true
}

// recordCrash remembers that an upstream crashed, whatever was there.
func (t *Tracker) recordCrash(upstream uint64, at, now clock.Instant) {
	if len(t.crashes) >= maxRecordedCrashes {
		t.crashes.expire(now)
	}
	if len(t.crashes) < maxRecordedCrashes {
		t.crashes.add(upstream, at)
	}
}

// MayRepeat reports whether a request that was at a crash may be sent to another
// upstream. It may not if one of its parts was at another crash before and was never
// answered.
func (t *Tracker) MayRepeat(parts []Part) bool {
	for _, part := range parts {
		if s := t.suspects[part.ID]; s != nil && len(s.crashes) >= suspectCrashes && !s.wasAnswered() {
			return false
		}
	}
	return true
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
		if !s.isQuarantined(now) && (least == nil || ranksBefore(least, s)) {
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
