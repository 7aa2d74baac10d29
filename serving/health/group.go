package health

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Parameters of the judgement.
const (
	// failureWeight is the weight of one attempt in the moving share.
	failureWeight = 0.1
	// failureLimit is the moving share at which a replica is ejected.
	failureLimit = 0.3
	// streakLimit is the number of failures in a row at which it is ejected.
	streakLimit = 2
	// rampFrom is the weight at the beginning of the slow return.
	rampFrom = 0.1
)

// Group judges the replicas of one pool by the attempts of one gateway. It
// never ejects more than a share of them. One thread owns it.
type Group struct {
	cfg     Config
	members int
	ejected int
}

// NewGroup returns a Group without replicas.
func NewGroup(cfg Config) *Group {
	return &Group{cfg: cfg.withDefaults()}
}

// Add counts a replica.
func (g *Group) Add() {
	g.members++
}

// Remove forgets a replica.
func (g *Group) Remove(r *Record) {
	g.members--
	if r.ejected {
		g.ejected--
		r.ejected = false
	}
}

// Started notes that an attempt was sent to a replica.
func (g *Group) Started(r *Record) {
	if r.ejections > 0 && r.streak > 0 {
		r.probing = true
	}
}

// Succeeded notes that an attempt got an answer.
func (g *Group) Succeeded(r *Record) {
	r.streak = 0
	r.probing = false
	r.failures -= failureWeight * r.failures
}

// Abandoned notes that an attempt ended without a verdict on the replica.
func (g *Group) Abandoned(r *Record) {
	r.probing = false
}

// Failed notes that an attempt failed by fault of the replica.
func (g *Group) Failed(r *Record, now clock.Instant) {
	r.streak++
	r.probing = false
	r.failures += failureWeight * (1 - r.failures)
	if r.ejected || g.cfg.Disabled {
		return
	}
	if r.streak >= streakLimit || r.failures >= failureLimit {
		g.eject(r, now)
	}
}

func (g *Group) eject(r *Record, now clock.Instant) {
	if float64(g.ejected+1) > g.cfg.MaxEjectedShare*float64(g.members) {
		return
	}
	if g.hasRecovered(r, now) {
		r.ejections = 0
	}
	r.ejected = true
	r.returnsAt = now.Add(g.ejection(r.ejections))
	r.ejections++
	r.failures = 0
	g.ejected++
}

// hasRecovered reports whether the last ejection is long past.
func (g *Group) hasRecovered(r *Record, now clock.Instant) bool {
	return now.After(r.returnsAt.Add(g.cfg.MaxEjection))
}

func (g *Group) ejection(before int) time.Duration {
	d := g.cfg.Ejection
	for range before {
		d = min(2*d, g.cfg.MaxEjection)
	}
	return d
}

// Weight is the part of its usual work that a replica is to get: 0 while it is
// ejected, rising to 1 after its return. A replica that returns gets one
// attempt, and more once that one succeeded.
func (g *Group) Weight(r *Record, now clock.Instant) float64 {
	if r.ejected && now.Before(r.returnsAt) {
		return 0
	}
	if r.ejected {
		r.ejected = false
		g.ejected--
	}
	if r.ejections == 0 {
		return 1
	}
	if r.probing {
		return 0
	}
	return g.ramp(now.Sub(r.returnsAt))
}

func (g *Group) ramp(since time.Duration) float64 {
	part := float64(since) / float64(g.cfg.Ramp)
	return min(rampFrom+(1-rampFrom)*part, 1)
}
