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
	// fleetLease is the lease under which one controller starts and ends instances
	// and sends orders to engines.
	fleetLease = "fleet"
	// priceInterval is the time between two reads of the prices.
	priceInterval = 15 * time.Second
	// standbyFactor is how many times longer a controller without the lease waits
	// between two reads of the instance list, so that all controllers together
	// stay under the cloud's rate limits.
	standbyFactor = 5
	// releaseTimeout bounds the release of the lease during shutdown.
	releaseTimeout = 2 * time.Second
)

// fleetDuty is the duty that tracks the instances and, while it holds the fleet
// lease, starts and ends them.
type fleetDuty struct {
	log       zerolog.Logger
	inbox     *ring.Ring[fleetEvent]
	planner   *ring.Ring[plannerEvent]
	orders    *ring.Ring[ordersEvent]
	publisher publisher
	table     Table
	cloud     Cloud
	clock     clock.Clock
	now       func() time.Time
	settings  *Settings
	counters  *counters
	calls     *asyncCalls
	lease     *leaseRunner
	budgets   *budgets

	configuration *intent.Configuration
	// pools are the pools of the configuration by ledger key.
	pools       map[row.Key]memberPool
	view        *reclaim.View
	waves       *reclaim.WaveDetector
	backoff     *place.Backoff
	prices      price.List
	serving     map[string]bool
	reconcilers map[row.Key]*poolReconciler
	// ledgersFence is the fencing number under which the ledgers were read.
	ledgersFence uint64
	// fenceVersion is the version of the fence row.
	fenceVersion   uint64
	ledgersPending bool
	noticeCursor   uint64
	hasList        bool
	// published holds the instances as published to the gateways, by any
	// controller. publishedFence is the fencing number under which this process
	// last published.
	published      map[string]fleet.Instance
	publishedFence uint64
	// liveSince is when each live instance was first seen live.
	liveSince map[string]clock.Instant

	nextTick       clock.Instant
	nextList       clock.Instant
	nextPrices     clock.Instant
	nextNotices    clock.Instant
	nextReport     clock.Instant
	listPending    bool
	pricesPending  bool
	noticesPending bool
	stopping       bool
	stopDeadline   clock.Instant
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
		reconcilers:   make(map[row.Key]*poolReconciler),
	}
	f.calls = &asyncCalls{inbox: f.inbox}
	// Reserves the slot of the stop event; a new ring has free slots.
	_ = f.inbox.Reserve()
	newRunner := func(m stateMachine) *stepRunner { return newStepRunner(m, table, clk, f.calls) }
	candidate := lease.New(fleetLease, lease.DefaultConfig(), holder)
	f.lease = &leaseRunner{stepRunner: newRunner(candidate), lease: candidate}
	f.budgets = newBudgets(newRunner)
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
		f.tickNow()
	case e.published != nil:
		f.recordPublished(e.published)
	case e.stop:
		f.stop()
	case e.dump != nil:
		_ = e.dump.Offer(f.dumpSection())
	}
}

func (f *fleetDuty) configure(c *intent.Configuration) {
	if c.Version > f.configuration.Version {
		f.configuration, f.pools = c, poolsOf(c)
		f.tickNow()
	}
}

// tickNow makes the next tick due at once.
func (f *fleetDuty) tickNow() {
	f.nextTick = f.clock.Now()
}

// stop starts releasing the lease. The duty returns when that is done.
func (f *fleetDuty) stop() {
	f.stopping = true
	f.stopDeadline = f.clock.Now().Add(releaseTimeout)
	f.lease.release()
	f.budgets.discard()
	f.tickNow()
}

func (f *fleetDuty) isStopped() bool {
	return f.stopping && (f.lease.ended || !f.clock.Now().Before(f.stopDeadline))
}

// tick performs all work that is due.
func (f *fleetDuty) tick() {
	f.nextTick = f.clock.Now().Add(f.settings.FleetInterval)
	f.lease.step()
	if f.stopping {
		return
	}
	f.readInstances()
	f.readPrices()
	f.readNotices()
	f.reconcilePools()
	f.report()
}

// reconcilePools brings the pools to their targets while the lease is held.
func (f *fleetDuty) reconcilePools() {
	g := f.lease.grant()
	if !g.isValid(f.clock.Now()) {
		f.budgets.discard()
		return
	}
	if f.ledgersFence != g.fence {
		f.readLedgers(g.fence)
		return
	}
	if !f.hasList || len(f.prices) == 0 || f.configuration.Version == 0 {
		return
	}
	f.budgets.renew(f.configuration, f.spent(nil, nil))
	pools := f.pools
	for key := range pools {
		if f.reconcilers[key] == nil {
			p := pools[key]
			f.reconcilers[key] = newPoolReconciler(f, p.member, p.pool.Name)
		}
	}
	for key, reconciler := range f.reconcilers {
		if p, ok := pools[key]; ok {
			reconciler.reconcile(&p)
		} else {
			reconciler.reconcile(nil)
		}
	}
}

// placementRequest returns the request for the placement of a pool. A nil pool,
// one that was removed, has an empty placement.
func (f *fleetDuty) placementRequest(pool *intent.Pool, instances []fleet.Instance) place.Request {
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

func (f *fleetDuty) poolInstances(member, pool string) []fleet.Instance {
	var list []fleet.Instance
	for _, i := range f.view.Instances() {
		if i.Member == member && i.Pool == pool {
			list = append(list, i)
		}
	}
	return list
}
