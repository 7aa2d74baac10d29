package controller

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
	"github.com/sycamorecourse/sycamorecourse/serving/reclaim"
)

// memoryCloud is an in-memory cloud. Its instance list is as old as the last
// refreshList. The token in its ring serves as a lock.
type memoryCloud struct {
	token     *ring.Ring[struct{}]
	offers    price.List
	instances map[string]fleet.Instance
	byToken   map[string]string
	listed    []fleet.Instance
	notices   []reclaim.Notice
	full      map[place.Option]bool
	faults    []fault
	starts    int
}

func newMemoryCloud(offers price.List) *memoryCloud {
	c := &memoryCloud{
		token: ring.New[struct{}]("cloud", 1), offers: offers,
		instances: map[string]fleet.Instance{}, byToken: map[string]string{}, full: map[place.Option]bool{},
	}
	_ = c.token.Offer(struct{}{})
	return c
}

func (c *memoryCloud) locked(act func()) {
	_, _ = c.token.Take()
	defer func() { _ = c.token.Offer(struct{}{}) }()
	act()
}

// refreshList updates the instance list.
func (c *memoryCloud) refreshList() {
	c.locked(func() {
		c.listed = slices.Collect(maps.Values(c.instances))
	})
}

// boot makes all starting instances live.
func (c *memoryCloud) boot() {
	c.locked(func() {
		for id, i := range c.instances {
			i.State = fleet.Live
			c.instances[id] = i
		}
	})
}

// reclaim removes the reclaimable instances of a failure domain, with a notice
// for each, and returns their number.
func (c *memoryCloud) reclaim(domain string) int {
	taken := 0
	c.locked(func() {
		for id, i := range c.instances {
			if i.Reclaimable && i.FailureDomain == domain {
				c.notices = append(c.notices, reclaim.Notice{Instance: id})
				delete(c.instances, id)
				taken++
			}
		}
	})
	return taken
}

// cost returns the hourly cost of a member's instances.
func (c *memoryCloud) cost(member string) (micros int64) {
	c.locked(func() {
		for _, i := range c.instances {
			if i.Member == member {
				micros += i.MicrosPerHour
			}
		}
	})
	return micros
}

func (c *memoryCloud) Instances(done func([]fleet.Instance, error)) {
	var list []fleet.Instance
	c.locked(func() { list = slices.Clone(c.listed) })
	done(list, nil)
}

func (c *memoryCloud) Prices(done func(price.List, error)) { done(c.offers, nil) }

func (c *memoryCloud) Notices(cursor uint64, done func(Notices, error)) {
	var n Notices
	c.locked(func() { n = Notices{List: slices.Clone(c.notices[cursor:]), Cursor: uint64(len(c.notices))} })
	done(n, nil)
}

func (c *memoryCloud) Start(r StartRequest, done func(fleet.Instance, error)) {
	var i fleet.Instance
	var err error
	c.locked(func() { i, err = c.start(r) })
	done(i, err)
}

func (c *memoryCloud) start(r StartRequest) (fleet.Instance, error) {
	f := c.nextFault()
	if f == lostBefore {
		return fleet.Instance{}, io.ErrUnexpectedEOF
	}
	id, known := c.byToken[r.Token]
	if !known {
		if f == refused || c.full[r.Option] {
			return fleet.Instance{}, &StartRefusedError{Err: io.EOF}
		}
		offer, _ := c.offers.Find(r.Option.FailureDomain, r.Option.MachineClass, r.Option.Reclaimable)
		c.starts++
		id = fmt.Sprintf("i-%04d", c.starts)
		c.byToken[r.Token] = id
		c.instances[id] = fleet.Instance{
			ID: id, Member: r.Member, Pool: r.Pool, State: fleet.Starting, Reclaimable: r.Option.Reclaimable,
			FailureDomain: r.Option.FailureDomain, MachineClass: r.Option.MachineClass, MicrosPerHour: offer.MicrosPerHour,
		}
	}
	if f == lostAfter {
		return fleet.Instance{}, io.ErrUnexpectedEOF
	}
	return c.instances[id], nil
}

func (c *memoryCloud) End(id string, done func(error)) {
	var f fault
	c.locked(func() {
		if f = c.nextFault(); f != lostBefore {
			delete(c.instances, id)
		}
	})
	if f == lostBefore || f == lostAfter {
		done(io.ErrUnexpectedEOF)
		return
	}
	done(nil)
}

func (c *memoryCloud) nextFault() fault {
	if len(c.faults) == 0 {
		return noFault
	}
	f := c.faults[0]
	c.faults = c.faults[1:]
	return f
}
