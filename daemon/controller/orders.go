package controller

import (
	"maps"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/order"
)

const (
	ordersCapacity = 4096
	// maxOrderDuration bounds the time from the check of the lease before an order
	// until the order can have no further effect.
	maxOrderDuration = 5 * time.Second
)

// ordersDuty is the duty that brings the engines to their desired state, under
// the fleet lease that the fleet duty holds.
type ordersDuty struct {
	log      zerolog.Logger
	inbox    *ring.Ring[ordersEvent]
	fleet    *ring.Ring[fleetEvent]
	client   Engines
	clock    clock.Clock
	settings *Settings
	counters *counters

	grant grant
	// tenure counts the times that the lease was acquired.
	tenure        uint64
	takeoverDelay lease.TakeoverDelay
	engines       map[string]*order.Engine
	reported      map[string]bool
}

func newOrdersDuty(s *Settings, log zerolog.Logger, client Engines, clk clock.Clock) *ordersDuty {
	return &ordersDuty{
		log:      log,
		inbox:    ring.New[ordersEvent]("orders", ordersCapacity),
		client:   client,
		clock:    clk,
		settings: s,
		engines:  make(map[string]*order.Engine),
		reported: make(map[string]bool),
	}
}

func (o *ordersDuty) run() error {
	for {
		e, err := o.inbox.Take()
		if err != nil {
			return nil
		}
		o.handle(e)
	}
}

func (o *ordersDuty) handle(e ordersEvent) {
	switch {
	case e.snapshot != nil:
		o.update(e.snapshot)
		o.step()
	case e.result != nil:
		o.onResult(e.result)
		o.step()
	case e.dump != nil:
		_ = e.dump.Offer(o.dumpSection())
	}
}

// update takes over the grant and the live engines of a snapshot.
func (o *ordersDuty) update(s *ordersSnapshot) {
	if s.grant.fence != o.grant.fence && s.grant.fence > 0 {
		o.beginTenure(s.grant)
	}
	o.grant = s.grant
	pools := poolsOf(s.configuration)
	present := make(map[string]bool)
	for _, i := range s.instances {
		p, ok := pools[ledgerKey(i.Member, i.Pool)]
		if !ok || p.pool.Kind != intent.Engine || i.State != fleet.Live {
			continue
		}
		present[i.ID] = true
		o.upsertEngine(i, p)
	}
	for id := range o.engines {
		if !present[id] {
			delete(o.engines, id)
		}
	}
}

// beginTenure starts acting under a newly acquired lease: the state of every
// engine is read again before its first order.
func (o *ordersDuty) beginTenure(g grant) {
	o.tenure++
	o.takeoverDelay = lease.NewTakeoverDelay(g.acquired, maxOrderDuration)
	for _, e := range o.engines {
		e.MustReadBack = true
		e.ReadAt = 0
	}
}

// upsertEngine adds an engine or updates its desired state.
func (o *ordersDuty) upsertEngine(i fleet.Instance, p memberPool) {
	e := o.engines[i.ID]
	if e == nil {
		e = &order.Engine{Instance: i.ID}
		o.engines[i.ID] = e
	}
	e.Pool = i.Member + "/" + i.Pool
	e.Address = i.Address
	e.FencingChecked = p.pool.FencingChecked
	e.Desired = order.DesiredStateOf(p.document, p.pool)
}

// step sends the orders and makes the state reads that are due.
func (o *ordersDuty) step() {
	now := o.clock.Now()
	if !o.grant.isValid(now) {
		return
	}
	limits := order.Limits{AllowUnchecked: o.takeoverDelay.IsOver(now), MaxLoading: o.settings.MaxLoading}
	for _, e := range order.NextOrders(o.engines, limits) {
		o.sendOrder(e)
	}
	for _, e := range order.DueReads(o.engines, now) {
		o.readState(e)
	}
	o.reportServing()
}

// sendOrder sends an order if the lease is still held immediately before the
// call.
func (o *ordersDuty) sendOrder(e *order.Engine) {
	if o.inbox.Reserve() != nil {
		return
	}
	if !o.grant.isValid(o.clock.Now()) {
		o.inbox.Release()
		return
	}
	e.Busy = true
	o.counters.orders.Inc()
	o.log.Info().Str("instance", e.Instance).Str("pool", e.Pool).Uint64("fence", o.grant.fence).Msg("order_given")
	r := engineResult{engine: e, tenure: o.tenure}
	o.client.Order(e.Address, o.grant.fence, e.Desired, func(s *order.State, err error) { o.enqueueResult(r, s, err) })
}

func (o *ordersDuty) readState(e *order.Engine) {
	if o.inbox.Reserve() != nil {
		return
	}
	e.Busy = true
	r := engineResult{engine: e, tenure: o.tenure}
	o.client.State(e.Address, func(s *order.State, err error) { o.enqueueResult(r, s, err) })
}

// enqueueResult runs on a thread of the client.
func (o *ordersDuty) enqueueResult(r engineResult, s *order.State, err error) {
	r.state, r.err = s, err
	_ = o.inbox.OfferReserved(ordersEvent{result: &r})
}

func (o *ordersDuty) onResult(r *engineResult) {
	e := r.engine
	if o.engines[e.Instance] != e {
		// It has been missing since the call was made.
		return
	}
	e.Busy = false
	if r.tenure != o.tenure {
		// The state may be older than an order of another controller: it is read again.
		return
	}
	now := o.clock.Now()
	if r.err == nil {
		e.RecordState(r.state, now)
		return
	}
	var stale *order.StaleError
	if errors.As(r.err, &stale) {
		o.log.Warn().Str("instance", e.Instance).Uint64("fence", stale.Fence).Msg("order_refused_stale")
	}
	e.RecordFailure(now)
}

// reportServing tells the fleet duty which engines can serve, when that has
// changed.
func (o *ordersDuty) reportServing() {
	serving := make(map[string]bool, len(o.engines))
	for id, e := range o.engines {
		if e.State != nil {
			serving[id] = e.CanServe()
		}
	}
	if maps.Equal(serving, o.reported) {
		return
	}
	if o.fleet.Offer(fleetEvent{serving: &servingUpdate{instances: serving}}) == nil {
		o.reported = serving
	}
}

func (o *ordersDuty) dumpSection() report.Section {
	dump := ordersDump{Fence: o.grant.fence, Engines: len(o.engines)}
	for _, e := range o.engines {
		if e.CanServe() {
			dump.Serving++
		}
		if e.MustReadBack {
			dump.MustReadBack++
		}
	}
	return report.Section{Name: "orders", State: dump}
}
