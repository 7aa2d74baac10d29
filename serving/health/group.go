package health

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// failureRateWeight is the weight of one attempt in the failure rate.
	failureRateWeight = 0.1
	// maxFailureRate is the failure rate at which a replica is ejected.
	maxFailureRate = 0.3
	// maxConsecutiveFailures is the number of consecutive failures at which a
	// replica is ejected.
	maxConsecutiveFailures = 2
	// initialWeight is the weight at the beginning of the slow start.
	initialWeight = 0.1
)

// Group tracks the health of the replicas of one pool by the results of one
// gateway's attempts. The caller keeps a Record for each replica. One thread
// owns a Group and its records.
type Group struct {
	cfg          Config
	memberCount  int
	ejectedCount int
}

// NewGroup returns a Group without replicas.
func NewGroup(cfg Config) *Group {
	return &Group{cfg: cfg.withDefaults()}
}

// Add adds a replica to the count that MaxEjectedShare refers to.
func (g *Group) Add() {
	g.memberCount++
}

// Remove removes a replica from the group.
func (g *Group) Remove(r *Record) {
	g.memberCount--
	if r.isEjected {
		g.ejectedCount--
		r.isEjected = false
	}
}

// Started records that an attempt was sent to a replica.
func (g *Group) Started(r *Record) {
	if r.ejections > 0 && r.consecutiveFailures > 0 {
		r.isProbing = true
	}
}

// Succeeded records that an attempt succeeded.
func (g *Group) Succeeded(r *Record) {
	r.consecutiveFailures = 0
	r.isProbing = false
	r.failureRate -= failureRateWeight * r.failureRate
}

// Abandoned records that an attempt ended with a result that tells nothing about
// the health of the replica, for example because it was canceled.
func (g *Group) Abandoned(r *Record) {
	r.isProbing = false
}

// Failed records that an attempt failed through a fault of the replica, and
// ejects the replica if that reaches a limit.
func (g *Group) Failed(r *Record, now clock.Instant) {
	r.consecutiveFailures++
	r.isProbing = false
	r.failureRate += failureRateWeight * (1 - r.failureRate)
	if r.isEjected || g.cfg.Disabled {
		return
	}
	if r.consecutiveFailures >= maxConsecutiveFailures || r.failureRate >= maxFailureRate {
		g.eject(r, now)
	}
}

// eject ejects a replica unless too many are ejected already.
func (g *Group) eject(r *Record, now clock.Instant) {
	if float64(g.ejectedCount+1) > g.cfg.MaxEjectedShare*float64(g.memberCount) {
		return
	}
	if g.hasRecovered(r, now) {
		r.ejections = 0
	}
	r.isEjected = true
	r.ejectedUntil = now.Add(g.ejectionTime(r.ejections))
	r.ejections++
	r.failureRate = 0
	g.ejectedCount++
}

// hasRecovered reports whether the last ejection ended more than MaxEjectionTime
// ago, so that its duration no longer counts.
func (g *Group) hasRecovered(r *Record, now clock.Instant) bool {
	return now.After(r.ejectedUntil.Add(g.cfg.MaxEjectionTime))
}

// ejectionTime returns the duration of an ejection, given the number of previous
// ones.
func (g *Group) ejectionTime(previous int) time.Duration {
	d := g.cfg.BaseEjectionTime
	for range previous {
		d = min(2*d, g.cfg.MaxEjectionTime)
	}
	return d
}

// Weight returns the share of its usual load that a replica should get: 0 while
// it is ejected or probed, then a value that rises to 1 during the slow start.
// It also ends ejections that have expired.
func (g *Group) Weight(r *Record, now clock.Instant) float64 {
	if r.isEjected && now.Before(r.ejectedUntil) {
		return 0
	}
	if r.isEjected {
		r.isEjected = false
		g.ejectedCount--
	}
	if r.ejections == 0 {
		return 1
	}
	if r.isProbing {
		return 0
	}
	return g.slowStartWeight(now.Sub(r.ejectedUntil))
}

// slowStartWeight returns the weight at a time since the end of the ejection.
func (g *Group) slowStartWeight(since time.Duration) float64 {
	elapsed := float64(since) / float64(g.cfg.SlowStart)
	return min(initialWeight+(1-initialWeight)*elapsed, 1)
}
