package quarantine

import (
	"math"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// minCrashes is the least number of crashes, at different moments, before a part is
	// quarantined.
	minCrashes = 3
	// maxChance bounds the probability that a harmless part was at all the crashes.
	maxChance = 1e-3
	// minCrashRate is the least assumed share of harmless attempts that end in a
	// crash.
	minCrashRate = 0.02
	// maxCrashes bounds the crashes that are kept of one part.
	maxCrashes = 48
)

// suspect is a part that was at a crash, or that another gateway suspects.
type suspect struct {
	part    uint64
	service string
	depth   int
	// crashes holds those since succeededAt, by upstream.
	crashes     crashLog
	succeededAt clock.Instant

	quarantinedAt    clock.Instant
	quarantinedUntil clock.Instant
	quarantines      int
	probedAt         clock.Instant
	// isExplained is set if other quarantined parts explain the crashes, so that the
	// quarantine is not in force.
	isExplained bool

	// othersSucceeded and othersCrashed count the attempts at the service, without
	// the part, that ended at this gateway since the part was first suspected.
	othersSucceeded, othersCrashed int
	// changedAt is when there was last something new to publish.
	changedAt clock.Instant
	// isPublished is true once other gateways may know of the suspicion.
	isPublished bool
}

func newSuspect(part uint64, service string, succeededAt clock.Instant) *suspect {
	return &suspect{
		part: part, service: service, crashes: make(crashLog), succeededAt: succeededAt,
		quarantinedAt: never, quarantinedUntil: never, probedAt: never, changedAt: never,
	}
}

// isQuarantined reports whether the latest quarantine is in force.
func (s *suspect) isQuarantined(now clock.Instant) bool {
	return s.isBlocked() && now.Before(s.quarantinedUntil)
}

// isBlocked reports whether requests with the part are sent only as a probe.
func (s *suspect) isBlocked() bool {
	return s.isConfirmed() && !s.isExplained
}

// isConfirmed reports whether the part was quarantined and not answered since.
func (s *suspect) isConfirmed() bool {
	return s.quarantinedAt != never && !s.succeededAt.After(s.quarantinedAt)
}

// wasProbed reports whether a request was let through as a probe since the latest
// quarantine ended.
func (s *suspect) wasProbed() bool {
	return s.isConfirmed() && !s.probedAt.Before(s.quarantinedUntil)
}

// addCrash adds a crash unless the part was answered after it.
func (s *suspect) addCrash(upstream uint64, at, now clock.Instant) {
	if !at.After(s.succeededAt) || !s.crashes.add(upstream, at) {
		return
	}
	s.changedAt = now
	if len(s.crashes) > maxCrashes {
		delete(s.crashes, s.crashes.sorted()[0].Upstream)
	}
}

// succeed records that the part was answered.
func (s *suspect) succeed(at clock.Instant) {
	if !at.After(s.succeededAt) {
		return
	}
	s.succeededAt = at
	s.crashes.forget(at)
}

// dropExplained forgets the crashes in a set.
func (s *suspect) dropExplained(explained map[uint64]bool) {
	for upstream := range s.crashes {
		if explained[upstream] {
			delete(s.crashes, upstream)
		}
	}
}

// wasAnswered reports whether a prompt with the part is known to have been answered.
func (s *suspect) wasAnswered() bool {
	return s.succeededAt != never
}

// isSignificant reports whether chance does not explain a number of crashes. The rate at
// which harmless attempts crash is that of the prompts without the part, so that
// nothing is held against a part while others don't succeed either.
func (s *suspect) isSignificant(crashes int) bool {
	rate := float64(s.othersCrashed+1) / float64(s.othersSucceeded+s.othersCrashed+1)
	return math.Pow(max(rate, minCrashRate), float64(crashes)) <= maxChance
}

// isCommonFactor reports whether a part that was never answered was at most crashes since
// its first one, while other prompts succeeded. That holds also where the part ends
// engines so fast that most other prompts crash with it.
func (s *suspect) isCommonFactor(crashes, crashesOfAll int) bool {
	return !s.wasAnswered() && 2*crashes >= crashesOfAll && s.othersSucceeded >= crashes
}

// evidence returns what is known, with times of this process.
func (s *suspect) evidence() Evidence {
	return Evidence{
		Part: s.part, Service: s.service, Depth: s.depth,
		Crashes:          s.crashes.sorted(),
		SucceededAt:      duration(s.succeededAt),
		QuarantinedAt:    duration(s.quarantinedAt),
		QuarantinedUntil: duration(s.quarantinedUntil),
		Quarantines:      s.quarantines,
		ProbedAt:         duration(s.probedAt),
	}
}
