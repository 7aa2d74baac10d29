package controller

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
	"github.com/sycamorecourse/sycamorecourse/serving/reclaim"
)

const (
	fleetCapacity = 1024
	// fleetLease is the name of the lease under which one controller starts and
	// ends instances and gives orders to engines.
	fleetLease = "fleet"
	// priceInterval is the time between two reads of the prices.
	priceInterval = 15 * time.Second
	// standbyFactor is how much less often a controller without the lease reads
	// the list, so that all controllers together stay under the cloud's limits.
	standbyFactor = 5
	// releaseTimeout bounds the release of the lease at the end.
	releaseTimeout = 2 * time.Second
)

// fleetDuty is the duty that knows the instances and, while it holds the fleet
// lease, starts and ends them.
type fleetDuty struct {
	log       zerolog.Logger
	inbox     *ring.Ring[fleetEvent]
	planner   *ring.Ring[plannerEvent]
	orders    *ring.Ring[ordersEvent]
	followers followers
	table     Table
	cloud     Cloud
	clock     clock.Clock
	now       func() time.Time
	settings  *Settings
	counters  *counters
	calls     *calls
	lease     *heldLease
	budgets   *budgets

	configuration *intent.Configuration
	// pools are those of the configuration.
	pools   map[row.Key]memberPool
	view    *reclaim.View
	waves   *reclaim.WaveDetector
	backoff *place.Backoff
	prices  price.List
	serving map[string]bool
	keepers map[row.Key]*poolKeeper
	// ledgersOf is the fencing number under which the ledgers were read.
	ledgersOf uint64
	// fenceVersion is the version of the fence row.
	fenceVersion uint64
	loading      bool
	cursor       uint64
	listed       bool
	// published is what the gateways were told, the last time under a fencing
	// number of this process.
	published   map[string]fleet.Instance
	publishedOf uint64
	// liveSince is when each live instance was first seen live.
	liveSince map[string]clock.Instant

	nextTick   clock.Instant
	nextList   clock.Instant
	nextPrices clock.Instant
	nextNotice clock.Instant
	nextReport clock.Instant
	listing    bool
	pricing    bool
	noticing   bool
	stopping   bool
	stopBy     clock.Instant
}

func newFleetDuty(s *Settings, log zerolog.Logger, table Table, cloud Cloud, holder lease.Holder, clk clock.Clock, now func() time.Time) *fleetDuty {
	f := &fleetDuty{
		log:           log,
		inbox:         ring.New[fleetEvent]("fleet", fleetCapacity),
		table:         table,
		cloud:         cloud,
		clock:         clk,
		now:           now,
		settings:      s,
		configuration: &intent.Configuration{},
		view:          reclaim.NewView(),
		waves:         reclaim.NewWaveDetector(),
		backoff:       place.NewBackoff(),
		serving:       make(map[string]bool),
		published:     make(map[string]fleet.Instance),
		keepers:       make(map[row.Key]*poolKeeper),
	}
	f.calls = &calls{inbox: f.inbox}
	// The slot of the stop; a new ring has room.
	_ = f.inbox.Reserve()
	run := func(m stepMachine) *stepRunner { return newStepRunner(m, table, clk, f.calls) }
	candidate := lease.New(fleetLease, lease.DefaultConfig(), holder)
	f.lease = &heldLease{stepRunner: run(candidate), lease: candidate}
	f.budgets = newBudgets(run)
	return f
}

func (f *fleetDuty) run() error {
	for !f.isStopped() {
		e, ok, err := f.inbox.TakeUntil(f.nextTick.Sub(f.clock.Now()))
		if err != nil {
			return nil
		}
		if ok {
			f.handle(e)
		}
		if !f.clock.Now().Before(f.nextTick) {
			f.tick()
		}
	}
	return nil
}

func (f *fleetDuty) handle(e fleetEvent) {
	switch {
	case e.resume != nil:
		e.resume()
	case e.configuration != nil:
		f.configure(e.configuration)
	case e.serving != nil:
		f.serving = e.serving.instances
		f.wake()
	case e.followed != nil:
		f.takeFollowed(e.followed)
	case e.stop:
		f.stop()
	case e.dump != nil:
		_ = e.dump.Offer(f.section())
	}
}

func (f *fleetDuty) configure(c *intent.Configuration) {
	if c.Version > f.configuration.Version {
		f.configuration, f.pools = c, poolsOf(c)
		f.wake()
	}
}

// wake makes the next tick due.
func (f *fleetDuty) wake() {
	f.nextTick = f.clock.Now()
}

// stop releases the lease; the duty ends when that is done.
func (f *fleetDuty) stop() {
	f.stopping = true
	f.stopBy = f.clock.Now().Add(releaseTimeout)
	f.lease.release()
	f.budgets.drop()
	f.wake()
}

func (f *fleetDuty) isStopped() bool {
	return f.stopping && (f.lease.ended || !f.clock.Now().Before(f.stopBy))
}

// tick takes all steps that are due.
func (f *fleetDuty) tick() {
	f.nextTick = f.clock.Now().Add(f.settings.FleetInterval)
	f.lease.step()
	if f.stopping {
		return
	}
	f.readList()
	f.readPrices()
	f.readNotices()
	f.manage()
	f.report()
}

// manage steps the pools while the lease is held.
func (f *fleetDuty) manage() {
	g := f.lease.grant()
	if !g.isValid(f.clock.Now()) {
		f.budgets.drop()
		return
	}
	if f.ledgersOf != g.fence {
		f.readLedgers(g.fence)
		return
	}
	if !f.listed || len(f.prices) == 0 || f.configuration.Version == 0 {
		return
	}
	f.budgets.hold(f.configuration, f.spent(nil, nil))
	wanted := f.pools
	for key := range wanted {
		if f.keepers[key] == nil {
			p := wanted[key]
			f.keepers[key] = newPoolKeeper(f, p.member, p.pool.Name)
		}
	}
	for key, k := range f.keepers {
		if p, ok := wanted[key]; ok {
			k.step(&p)
		} else {
			k.step(nil)
		}
	}
}

// requestOf asks for the placement of a pool; nil wants none.
func (f *fleetDuty) requestOf(pool *intent.Pool, instances []fleet.Instance) place.Request {
	if pool == nil {
		return place.Request{}
	}
	return place.Request{
		Pool:        pool,
		Prices:      f.prices,
		Current:     place.CountByOption(instances),
		Unavailable: f.backoff.Unavailable(place.Options(pool, f.prices), f.clock.Now()),
	}
}

func (f *fleetDuty) instancesOf(member, pool string) []fleet.Instance {
	var list []fleet.Instance
	for _, i := range f.view.Instances() {
		if i.Member == member && i.Pool == pool {
			list = append(list, i)
		}
	}
	return list
}
