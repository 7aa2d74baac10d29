package controller

import (
	"strconv"
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
	log      zerolog.Logger
	inbox    *ring.Ring[fleetEvent]
	planner  *ring.Ring[plannerEvent]
	orders   *ring.Ring[ordersEvent]
	publish  publisher
	table    Table
	cloud    Cloud
	clock    clock.Clock
	now      func() time.Time
	settings *Settings
	counters *counters
	calls    *calls
	lease    *heldLease
	budgets  *budgets

	configuration *intent.Configuration
	view          *reclaim.View
	waves         *reclaim.Waves
	backoff       *place.Backoff
	prices        price.List
	serving       map[string]bool
	keepers       map[row.Key]*poolKeeper
	// ledgersOf is the fencing number under which the ledgers were read.
	ledgersOf uint64
	// fenceVersion is the version of the fence row.
	fenceVersion uint64
	loading      bool
	cursor       uint64
	listed       bool
	// published is what the gateways were told under a fencing number.
	published   map[string]fleet.Instance
	publishedOf uint64

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
		waves:         reclaim.NewWaves(),
		backoff:       place.NewBackoff(),
		serving:       make(map[string]bool),
		keepers:       make(map[row.Key]*poolKeeper),
	}
	f.calls = &calls{inbox: f.inbox}
	// The slot of the stop; a new ring has room.
	_ = f.inbox.Reserve()
	run := func(m stepMachine) *stepRunner { return newStepRunner(m, table, clk, f.calls) }
	candidate := lease.New(fleetLease, lease.DefaultConfig(), holder)
	f.lease = &heldLease{stepRunner: run(candidate), lease: candidate}
	f.budgets = newBudgets(holder, run)
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
	case e.stop:
		f.stop()
	case e.dump != nil:
		_ = e.dump.Offer(f.section())
	}
}

func (f *fleetDuty) configure(c *intent.Configuration) {
	if c.Version > f.configuration.Version {
		f.configuration = c
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
	f.budgets.giveBack()
	f.wake()
}

func (f *fleetDuty) isStopped() bool {
	isReleased := f.lease.ended && len(f.budgets.slices) == 0
	return f.stopping && (isReleased || !f.clock.Now().Before(f.stopBy))
}

// tick takes all steps that are due.
func (f *fleetDuty) tick() {
	f.nextTick = f.clock.Now().Add(f.settings.FleetInterval)
	f.lease.step()
	if f.stopping {
		f.budgets.giveBack()
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
		f.budgets.giveBack()
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
	wanted := f.pools()
	for key := range wanted {
		if f.keepers[key] == nil {
			p := wanted[key]
			f.keepers[key] = newPoolKeeper(f, p.member, p.pool.Name)
		}
	}
	for key, k := range f.keepers {
		if p, ok := wanted[key]; ok {
			k.step(p.pool)
		} else {
			k.step(nil)
		}
	}
}

// pools lists the pools of the configuration.
func (f *fleetDuty) pools() map[row.Key]memberPool {
	return poolsOf(f.configuration)
}

// readLedgers reads all ledgers after the lease was acquired. Before that it
// writes the fence row, which all writes of ledgers check: what a former holder
// still has under way can change no ledger after it was read.
func (f *fleetDuty) readLedgers(fence uint64) {
	if f.loading {
		return
	}
	f.loading = f.calls.begin(func(resume func(func())) {
		f.table.Read(fenceKey(), func(r row.Row, err error) {
			resume(func() { f.fenceRead(fence, r, err) })
		})
	}) == nil
}

func (f *fleetDuty) fenceRead(fence uint64, r row.Row, err error) {
	f.loading = false
	if err != nil || !f.lease.grant().isValid(f.clock.Now()) {
		return
	}
	change := row.Change{Key: fenceKey(), Expect: r.Version, Value: strconv.AppendUint(nil, fence, 10)}
	f.loading = f.calls.begin(func(resume func(func())) {
		f.table.Write(row.Transaction{Changes: []row.Change{change}}, func(err error) {
			resume(func() { f.fenceWritten(fence, r.Version+1, err) })
		})
	}) == nil
}

func (f *fleetDuty) fenceWritten(fence, version uint64, err error) {
	f.loading = false
	if err != nil {
		return
	}
	f.fenceVersion = version
	f.loading = f.calls.begin(func(resume func(func())) {
		f.table.List(ledgerPartition, "", func(rows []row.Row, err error) {
			resume(func() { f.ledgersRead(fence, rows, err) })
		})
	}) == nil
}

func (f *fleetDuty) ledgersRead(fence uint64, rows []row.Row, err error) {
	f.loading = false
	if err != nil {
		return
	}
	keepers := make(map[row.Key]*poolKeeper, len(rows))
	for _, r := range rows {
		member, pool, ok := poolOfKey(r.Key)
		if !ok {
			continue
		}
		k := newPoolKeeper(f, member, pool)
		if err := k.take(r); err != nil {
			f.log.Error().Str("cause", err.Error()).Msg("ledger_unreadable")
			return
		}
		keepers[r.Key] = k
	}
	f.keepers, f.ledgersOf = keepers, fence
	f.log.Info().Uint64("fence", fence).Int("ledgers", len(rows)).Msg("fleet_lease_acquired")
	f.wake()
}

func (f *fleetDuty) readList() {
	now := f.clock.Now()
	if f.listing || now.Before(f.nextList) {
		return
	}
	interval := f.settings.FleetInterval
	if !f.lease.grant().isValid(now) {
		interval *= standbyFactor
	}
	f.nextList = now.Add(interval)
	f.listing = f.calls.begin(func(resume func(func())) {
		f.cloud.Instances(func(list []fleet.Instance, err error) {
			resume(func() { f.hasListed(list, err) })
		})
	}) == nil
}

func (f *fleetDuty) hasListed(list []fleet.Instance, err error) {
	f.listing = false
	if err != nil {
		f.log.Warn().Str("cause", err.Error()).Msg("instance_list_failed")
		return
	}
	f.listed = true
	f.view.List(list, f.clock.Now(), f.now())
}

func (f *fleetDuty) readPrices() {
	now := f.clock.Now()
	if f.pricing || now.Before(f.nextPrices) {
		return
	}
	f.nextPrices = now.Add(priceInterval)
	f.pricing = f.calls.begin(func(resume func(func())) {
		f.cloud.Prices(func(list price.List, err error) {
			resume(func() { f.hasPrices(list, err) })
		})
	}) == nil
}

func (f *fleetDuty) hasPrices(list price.List, err error) {
	f.pricing = false
	if err != nil {
		f.nextPrices = f.clock.Now().Add(f.settings.FleetInterval)
		f.log.Warn().Str("cause", err.Error()).Msg("prices_failed")
		return
	}
	f.prices = list
	f.wake()
}

// readNotices keeps one call open that waits for notices.
func (f *fleetDuty) readNotices() {
	if f.noticing || f.clock.Now().Before(f.nextNotice) {
		return
	}
	f.noticing = f.calls.begin(func(resume func(func())) {
		f.cloud.Notices(f.cursor, func(n Notices, err error) {
			resume(func() { f.noticed(n, err) })
		})
	}) == nil
}

func (f *fleetDuty) noticed(n Notices, err error) {
	f.noticing = false
	now := f.clock.Now()
	if err != nil {
		f.nextNotice = now.Add(f.settings.FleetInterval)
		return
	}
	f.cursor = n.Cursor
	if len(n.List) == 0 {
		f.nextNotice = now.Add(f.settings.FleetInterval)
		return
	}
	for _, notice := range n.List {
		f.takeNotice(notice, now)
	}
	f.wake()
}

func (f *fleetDuty) takeNotice(n reclaim.Notice, now clock.Instant) {
	if !f.view.Notify(n, now) {
		return
	}
	f.counters.reclaims.Inc()
	if i, ok := f.view.Find(n.Instance); ok {
		n.FailureDomain = i.FailureDomain
	}
	f.log.Warn().Str("instance", n.Instance).Str("failure_domain", n.FailureDomain).Time("ends", n.Ends).Msg("reclaim_notice")
	isWave := f.waves.Notify(n.FailureDomain, f.reclaimableIn(n.FailureDomain), now)
	if isWave && f.backoff.Wave(n.FailureDomain, now) {
		f.log.Warn().Str("failure_domain", n.FailureDomain).Msg("reclaim_wave")
	}
}

func (f *fleetDuty) reclaimableIn(domain string) int {
	count := 0
	for _, i := range f.view.Instances() {
		if i.Reclaimable && i.FailureDomain == domain {
			count++
		}
	}
	return count
}

// targetOf returns the wanted placement of a pool; nil wants none.
func (f *fleetDuty) targetOf(member string, pool *intent.Pool) place.Target {
	if pool == nil {
		return place.Target{}
	}
	return place.Choose(place.Request{
		Pool:    pool,
		Prices:  f.prices,
		Held:    place.Held(f.view.Instances(), member, pool.Name),
		Refused: f.backoff.Refused(place.Options(pool, f.prices), f.clock.Now()),
	})
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

// mayBuy reports whether an instance of a price fits into the slices that are
// held, beside the draft of its pool and all other ledgers.
func (f *fleetDuty) mayBuy(buyer *poolKeeper, draft *place.Ledger, micros int64) bool {
	err := f.budgets.mayBuy(buyer.member, micros, f.spent(buyer, draft))
	if err != nil {
		f.log.Debug().Str("pool", buyer.pool).Str("cause", err.Error()).Msg("start_not_affordable")
	}
	return err == nil
}

// spent adds up what is paid for, by the names of the limits. The draft, if not
// nil, stands for the ledger of its pool if it is dearer.
func (f *fleetDuty) spent(drafter *poolKeeper, draft *place.Ledger) map[string]uint64 {
	spent := make(map[string]uint64)
	for _, k := range f.keepers {
		cost := k.cost()
		if k == drafter {
			cost = max(cost, draft.MicrosPerHour())
		}
		spent[totalBudget] += uint64(cost)
		spent[memberBudgetPrefix+k.member] += uint64(cost)
	}
	return spent
}
