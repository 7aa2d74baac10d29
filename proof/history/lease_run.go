package history

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
)

const (
	candidates   = 3
	leaseRunTime = 2 * time.Minute
	mostActGap   = 600 * time.Millisecond
	longestOrder = 3 * time.Second
	skewPPM      = 10_000  // covered by the margin
	skewFarPPM   = 350_000 // not covered by the margin
)

// LeaseRun is a run of candidates for one lease, of which the holder acts and
// gives orders that arrive late.
type LeaseRun struct {
	world     *World
	table     *Table
	switches  LeaseSwitches
	holders   map[uint64]lease.Holder // by fencing number
	acts      receiver                // acts at their instant
	checking  receiver
	ignoring  receiver
	twoOwners int
	// Handovers counts the changes of the holder.
	Handovers int
}

// NewLeaseRun makes the run of a seed.
func NewLeaseRun(seed uint64, switches LeaseSwitches) *LeaseRun {
	w := NewWorld(seed)
	r := &LeaseRun{
		world:    w,
		table:    NewTable(w, DefaultFaults()),
		switches: switches,
		holders:  make(map[uint64]lease.Holder),
	}
	trouble := Trouble{Every: 15 * time.Second, Longest: 20 * time.Second, SkewPPM: skewPPM}
	if switches.NoMargin {
		trouble.SkewPPM = skewFarPPM
	}
	for i := range candidates {
		NewNode(w, fmt.Sprint("controller-", i), trouble, r.start)
	}
	return r
}

// Run plays the run and returns what was violated.
func (r *LeaseRun) Run(seed uint64) []Violation {
	r.world.Run(leaseRunTime)
	r.Handovers = len(r.holders)
	var violations []Violation
	check := func(count int, promise string) {
		if count > 0 {
			violations = append(violations, Violation{Seed: seed, Promise: promise, Detail: fmt.Sprint(count, " times")})
		}
	}
	check(r.twoOwners, "a fencing number has one holder")
	check(r.acts.older, "no holder acts after a later one did")
	check(r.checking.older, "a receiver that checks takes no older order")
	check(r.ignoring.older, "an older order has come to rest before a newer one")
	return violations
}

func (r *LeaseRun) start(n *Node) {
	holder := lease.Holder{Instance: n.Name, Incarnation: n.Incarnation}
	l := lease.New("duty", r.config(), holder)
	drive(n, r.table, l, l.Next(n.Now()))
	n.After(0, func() { r.act(n, l, holder) })
}

// config returns the times of a candidate. With ShortWatch each candidate counts
// with a TTL of its own.
func (r *LeaseRun) config() lease.Config {
	config := lease.DefaultConfig()
	if r.switches.ShortWatch && r.world.Chance(500) {
		config.TTL /= 4
		config.Margin /= 4
	}
	return config
}

// act acts if the lease is held, and again later.
func (r *LeaseRun) act(n *Node, l *lease.Lease, holder lease.Holder) {
	now := n.Now()
	if fence, ok := r.fence(l, holder, now); ok {
		r.note(fence, holder)
		r.acts.take(fence)
		r.order(l, fence, now)
	}
	if r.world.Chance(5) {
		drive(n, r.table, l, l.Release(now))
	}
	n.After(r.world.Between(time.Millisecond, mostActGap), func() { r.act(n, l, holder) })
}

// fence asks for the right to act.
func (r *LeaseRun) fence(l *lease.Lease, holder lease.Holder, now clock.Instant) (uint64, bool) {
	if r.switches.NoCheck {
		record := l.LastKnown()
		return record.Fence, record.Holder == holder && !record.Released
	}
	fence, err := l.Fence(now)
	return fence, err == nil
}

func (r *LeaseRun) note(fence uint64, holder lease.Holder) {
	if former, ok := r.holders[fence]; ok && former != holder {
		r.twoOwners++
	}
	r.holders[fence] = holder
}

// order sends one order to each kind of receiver. They come in any order.
func (r *LeaseRun) order(l *lease.Lease, fence uint64, now clock.Instant) {
	r.world.After(r.world.Between(0, longestOrder), func() {
		if r.switches.NoFence {
			r.checking.take(fence)
		} else {
			r.checking.check(fence)
		}
	})
	wait := lease.NewTakeoverDelay(l.Acquired(), longestOrder)
	if wait.IsOver(now) || r.switches.NoWaitOut {
		r.world.After(r.world.Between(0, longestOrder), func() { r.ignoring.take(fence) })
	}
}
