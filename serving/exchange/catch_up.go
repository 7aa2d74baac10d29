package exchange

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// peersTimeout is how long a process that has read the configuration of a restored store
	// waits to know the other gateways.
	peersTimeout = 2 * time.Second
	// answersTimeout is how long it waits for the answers of those that it knows.
	answersTimeout = time.Second
	// rewriteTimeout is how long it waits for a configuration that others use and can't hand
	// over: by then the operator has written it again.
	rewriteTimeout = 10 * time.Second
	// enoughAnswers is the number of gateways with a configuration in use whose answers do.
	enoughAnswers = 3
	// maxOpenAsks bounds the asks in progress.
	maxOpenAsks = 8
	// askRetryDelay is the time between two asks of the same gateway. It grows with each
	// failure, up to maxRetryFactor times that.
	askRetryDelay  = 150 * time.Millisecond
	maxRetryFactor = 4
	// storeLead is how long a process that uses a configuration waits for a newer one to come
	// from the store before it asks the gateways that use it.
	storeLead = 500 * time.Millisecond
)

// CatchUp decides, after the store was restored from an older copy, which gateways a process
// asks for the configuration that they use, and whether it may use the one that it has read.
// All times count from what was read and heard in the present timeline of the store, however
// long the process has run. One thread owns it.
type CatchUp struct {
	instance string
	// timeline is the one in which the configuration was read last, first at readAt.
	timeline uint64
	readAt   clock.Instant
	// own is the version that this process has; 0 if none. isInUse is set once it uses one.
	own     uint64
	isInUse bool
	// peers are the other gateways, as known in peersTimeline, first at peersAt.
	peers         map[string]*askedPeer
	peersTimeline uint64
	peersAt       clock.Instant
	// newest is the newest version that another gateway, newestFrom, is known to use, known
	// since newestAt.
	newest     uint64
	newestFrom string
	newestAt   clock.Instant
}

// NewCatchUp returns that of a process that has just started.
func NewCatchUp(instance string) *CatchUp {
	return &CatchUp{instance: instance, peers: make(map[string]*askedPeer)}
}

// IsRestored reports whether a timeline of the store is not its first one: it may have lost
// what it had acknowledged before.
func IsRestored(timeline uint64) bool {
	return timeline > firstTimeline
}

// Read records that the configuration was read in a timeline of the store. It reports whether
// this process has to know the other gateways before it may use it.
func (c *CatchUp) Read(timeline uint64, now clock.Instant) bool {
	if c.readAt != 0 && timeline <= c.timeline {
		return false
	}
	c.timeline, c.readAt = timeline, now
	// What was answered before tells nothing of this timeline.
	for name, p := range c.peers {
		c.peers[name] = &askedPeer{Peer: p.Peer}
	}
	return IsRestored(timeline) && !c.isInUse
}

// Has records that this process has a version of the configuration.
func (c *CatchUp) Has(version uint64) {
	c.own = max(c.own, version)
}

// Use records that it uses what it has.
func (c *CatchUp) Use() {
	c.isInUse = true
}

// IsInUse reports whether it uses a configuration.
func (c *CatchUp) IsInUse() bool {
	return c.isInUse
}

// Timeline returns the timeline in which the configuration was read last.
func (c *CatchUp) Timeline() uint64 {
	return c.timeline
}

// Known takes over the other gateways, as known in a timeline of the store.
func (c *CatchUp) Known(peers []Peer, timeline uint64, now clock.Instant) {
	if timeline > c.peersTimeline {
		c.peersTimeline, c.peersAt = timeline, now
	}
	known := make(map[string]*askedPeer, len(peers))
	for _, p := range peers {
		asked := c.peers[p.Instance]
		if asked == nil {
			asked = &askedPeer{}
		}
		asked.Peer = p
		known[p.Instance] = asked
		c.heard(p.Instance, p.Config, now)
	}
	c.peers = known
}

// heard takes over that a gateway uses a version.
func (c *CatchUp) heard(instance string, version uint64, now clock.Instant) {
	if version > c.newest {
		c.newest, c.newestFrom, c.newestAt = version, instance, now
	}
}

// Answered records that a gateway, asked in a timeline, uses a version; 0 if it uses none.
func (c *CatchUp) Answered(instance string, timeline, version uint64, now clock.Instant) {
	c.heard(instance, version, now)
	p := c.peers[instance]
	if p == nil || timeline != c.timeline {
		return
	}
	p.isOpen, p.isSettled, p.hasAnswered = false, true, version > 0
	p.Config, p.retryAt = max(p.Config, version), now.Add(askRetryDelay)
}

// Failed records that a gateway, asked in a timeline, has not answered. It cannot if no
// process listens there, or one of a release that does not know the message.
func (c *CatchUp) Failed(instance string, timeline uint64, cannotAnswer bool, now clock.Instant) {
	p := c.peers[instance]
	if p == nil || timeline != c.timeline {
		return
	}
	p.failures++
	p.isOpen, p.retryAt = false, now.Add(askRetryDelay*time.Duration(min(p.failures, maxRetryFactor)))
	// One that has long been silent has most likely ended.
	p.isSettled = p.isSettled || cannotAnswer || !p.IsLive
}

// Standing returns whether what this process has may be used.
func (c *CatchUp) Standing(now clock.Instant) Standing {
	switch {
	case c.readAt == 0:
		return NotRead
	case c.isInUse || !IsRestored(c.timeline):
		return Unquestioned
	case c.newest > c.own:
		return waits(max(c.newestAt, c.readAt), rewriteTimeout, AwaitsConfig, NoConfig, now)
	case c.peersTimeline < c.timeline:
		return waits(c.readAt, peersTimeout, AwaitsPeers, NoPeers, now)
	case c.isAnswered():
		return Confirmed
	}
	return waits(max(c.peersAt, c.readAt), answersTimeout, AwaitsAnswers, NoAnswers, now)
}

// waits returns one standing until a time has passed, and another one from then on.
func waits(since clock.Instant, limit time.Duration, until, after Standing, now clock.Instant) Standing {
	if now.Sub(since) >= limit {
		return after
	}
	return until
}

// isAnswered reports whether enough gateways have answered, or all that can.
func (c *CatchUp) isAnswered() bool {
	answers, open := 0, 0
	for _, p := range c.peers {
		if p.hasAnswered {
			answers++
		}
		if !p.isSettled {
			open++
		}
	}
	return answers >= enoughAnswers || open == 0
}
