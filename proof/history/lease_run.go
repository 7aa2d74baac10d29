package history

import (
	"fmt"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
)

const (
	duty         = "duty" // the name of the lease
	candidates   = 3
	leaseRunTime = 2 * time.Minute
	mostActGap   = 600 * time.Millisecond
	longestOrder = 3 * time.Second
	// longestTrouble bounds pauses, times to a restart, and separations.
	longestTrouble = 20 * time.Second
	skewPPM        = 10_000  // covered by the margin
	skewFarPPM     = 350_000 // not covered by the margin
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
	duties    dutyCheck
	numbers   numberCheck
	nodes     []*Node
	restored  bool // the table is restored at times
	isCalm    bool // nobody releases the lease any more
	// Handovers counts the fencing numbers that were used.
	Handovers int
	// Restores counts the restores of the table.
	Restores int
}

// NewLeaseRun makes the run of a seed.
func NewLeaseRun(seed uint64, switches LeaseSwitches) *LeaseRun {
	return newLeaseRun(seed, switches, DefaultFaults())
}

// NewRestoredLeaseRun makes the run of a seed whose table is restored from older copies.
func NewRestoredLeaseRun(seed uint64, switches LeaseSwitches) *LeaseRun {
	faults := DefaultFaults()
	faults.Restores = DefaultRestores()
	faults.Restores.NoTimeline = switches.NoTimeline
	faults.Restores.NoGuard = switches.NoGuard
	return newLeaseRun(seed, switches, faults)
}

func newLeaseRun(seed uint64, switches LeaseSwitches, faults Faults) *LeaseRun {
	w := NewWorld(seed)
	r := &LeaseRun{
		world:    w,
		table:    NewTable(w, faults),
		switches: switches,
		holders:  make(map[uint64]lease.Holder),
		duties:   dutyCheck{candidates: make(map[*Node]*candidate)},
		restored: faults.Restores.Every > 0,
	}
	if r.restored {
		r.table.Applied = func() { r.numbers.written(r.table.Row(lease.Key(duty))) }
	}
	trouble := Trouble{Every: 15 * time.Second, Longest: longestTrouble, SkewPPM: skewPPM}
	if switches.NoMargin {
		trouble.SkewPPM = skewFarPPM
	}
	for i := range candidates {
		r.nodes = append(r.nodes, NewNode(w, fmt.Sprint("controller-", i), trouble, r.start))
	}
	return r
}

// Run plays the run and returns what was violated.
func (r *LeaseRun) Run(seed uint64) []Violation {
	r.world.Run(leaseRunTime)
	if r.restored {
		r.calmDown()
		r.Restores = r.table.Restored()
	}
	r.Handovers = len(r.holders)
	var violations []Violation
	check := func(count int, promise string) {
		if count > 0 {
			violations = append(violations, Violation{Seed: seed, Promise: promise, Detail: fmt.Sprint(count, " times")})
		}
	}
	check(r.twoOwners, NumberHasOneHolder)
	check(r.acts.older, "no holder acts after a later one did")
	check(r.checking.older, "a receiver that checks takes no older order")
	check(r.ignoring.older, "an older order has come to rest before a newer one")
	if r.restored {
		check(r.numbers.lower, RowKeepsNumbers)
		check(r.duties.shared, "two never hold a lease at one instant")
		check(r.duties.idle, DutiesGoOn)
		check(r.duties.stranded, HolderIsKnown)
	}
	return violations
}

func (r *LeaseRun) start(n *Node) {
	c := &candidate{
		node:    n,
		holder:  lease.Holder{Instance: n.Name, Incarnation: n.Incarnation},
		lease:   lease.New(duty, r.config(), lease.Holder{Instance: n.Name, Incarnation: n.Incarnation}),
		stepped: r.duties.notShared,
	}
	r.duties.candidates[n] = c
	drive(n, r.table, c, c.Next(n.Now()))
	n.After(0, func() { r.act(c) })
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
func (r *LeaseRun) act(c *candidate) {
	now := c.node.Now()
	if fence, ok := r.fence(c, now); ok {
		r.note(fence, c.holder)
		r.acts.take(fence)
		r.numbers.used(c.lease.Acquired())
		r.order(c.lease, fence, now)
	}
	if r.world.Chance(5) && !r.isCalm {
		c.released = true
		drive(c.node, r.table, c, c.lease.Release(now))
	}
	c.node.After(r.world.Between(time.Millisecond, mostActGap), func() { r.act(c) })
}

// fence asks for the right to act.
func (r *LeaseRun) fence(c *candidate, now clock.Instant) (uint64, bool) {
	if r.switches.NoCheck {
		record := c.lease.LastKnown()
		return record.Fence, record.Holder == c.holder && !record.Released
	}
	fence, err := c.lease.Fence(now)
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
