package exchange

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Next returns the gateways to ask now. Each ask has to end with Answered or Failed.
func (c *CatchUp) Next(now clock.Instant) []Peer {
	if !IsRestored(c.timeline) {
		return nil
	}
	var next []Peer
	for _, p := range c.candidates(now) {
		p.isOpen = true
		next = append(next, p.Peer)
	}
	return next
}

// candidates returns those of Next.
func (c *CatchUp) candidates(now clock.Instant) []*askedPeer {
	if holders := c.list(c.isHolder); len(holders) > 0 {
		return c.nextHolder(holders, now)
	}
	if c.isInUse || c.Standing(now).MayUse() {
		return nil
	}
	list := c.list(func(p *askedPeer) bool { return !p.isSettled && p.canBeAsked(now) })
	return list[:min(len(list), max(maxOpenAsks-c.openAsks(), 0))]
}

// nextHolder returns one of the gateways that use a newer configuration, unless one is being
// asked.
func (c *CatchUp) nextHolder(holders []*askedPeer, now clock.Instant) []*askedPeer {
	if c.isInUse && now.Sub(c.newestAt) < storeLead {
		return nil
	}
	if slices.ContainsFunc(holders, func(p *askedPeer) bool { return p.isOpen }) {
		return nil
	}
	holders = slices.DeleteFunc(holders, func(p *askedPeer) bool { return !p.canBeAsked(now) })
	return holders[:min(len(holders), 1)]
}

// isHolder reports whether a gateway uses a newer configuration than this process has.
func (c *CatchUp) isHolder(p *askedPeer) bool {
	return p.Config > c.own
}

func (c *CatchUp) openAsks() int {
	open := 0
	for _, p := range c.peers {
		if p.isOpen {
			open++
		}
	}
	return open
}

// list returns the gateways that keep selects, those to be asked first in front: live ones,
// with few failures, with the newest configurations. The rest of the order is another one at
// each gateway, so that a gateway is not asked by all others.
func (c *CatchUp) list(keep func(*askedPeer) bool) []*askedPeer {
	var list []*askedPeer
	for _, p := range c.peers {
		if keep(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b *askedPeer) int {
		switch {
		case a.IsLive != b.IsLive:
			return sign(a.IsLive)
		case a.failures != b.failures:
			return sign(a.failures < b.failures)
		case a.Config != b.Config:
			return sign(a.Config > b.Config)
		}
		return sign(xxhash.Sum64String(c.instance+a.Instance) < xxhash.Sum64String(c.instance+b.Instance))
	})
	return list
}

// sign returns the result of a comparison of two elements that differ.
func sign(isBefore bool) int {
	if isBefore {
		return -1
	}
	return 1
}

// NextDue returns within which time Next or Standing may return something else, without an
// event; false if they don't.
func (c *CatchUp) NextDue() (time.Duration, bool) {
	if !IsRestored(c.timeline) {
		return 0, false
	}
	return askRetryDelay, !c.isInUse || len(c.list(c.isHolder)) > 0
}

// State returns what it knows, for a state dump.
func (c *CatchUp) State(now clock.Instant) CatchUpState {
	s := CatchUpState{Standing: c.Standing(now), Timeline: c.timeline, Newest: c.newest, NewestFrom: c.newestFrom}
	if c.readAt != 0 {
		s.ReadMillisAgo = now.Sub(c.readAt).Milliseconds()
	}
	if c.newest != 0 {
		s.NewestMillisAgo = now.Sub(c.newestAt).Milliseconds()
	}
	for _, p := range c.list(func(*askedPeer) bool { return true }) {
		if p.hasAnswered {
			s.Answered = append(s.Answered, p.Instance)
		}
		if p.failures > 0 && !p.hasAnswered {
			s.Failed = append(s.Failed, p.Instance)
		}
	}
	return s
}
