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
	// longestOrder bounds the time from the check of the lease before an order
	// to the end of its effect.
	longestOrder = 5 * time.Second
)

// ordersDuty is the duty that brings the engines to the wanted state, under the
// fleet lease that the fleet duty holds.
type ordersDuty struct {
	log      zerolog.Logger
	inbox    *ring.Ring[ordersEvent]
	fleet    *ring.Ring[fleetEvent]
	remote   Engines
	clock    clock.Clock
	settings *Settings
	counters *counters

	grant   grant
	waitOut lease.TakeoverDelay
	engines map[string]*order.Engine
	serving map[string]bool
}

func newOrdersDuty(s *Settings, log zerolog.Logger, remote Engines, clk clock.Clock) *ordersDuty {
	return &ordersDuty{
		log:      log,
		inbox:    ring.New[ordersEvent]("orders", ordersCapacity),
		remote:   remote,
		clock:    clk,
		settings: s,
		engines:  make(map[string]*order.Engine),
		serving:  make(map[string]bool),
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
	case e.fleet != nil:
		o.learn(e.fleet)
		o.step()
	case e.answer != nil:
		o.answered(e.answer)
		o.step()
	case e.dump != nil:
		_ = e.dump.Offer(o.section())
	}
}

// learn takes the lease and the live engines.
func (o *ordersDuty) learn(n *ordersNews) {
	if n.grant.fence != o.grant.fence && n.grant.fence > 0 {
		o.acquired(n.grant)
	}
	o.grant = n.grant
	pools := poolsOf(n.configuration)
	present := make(map[string]bool)
	for _, i := range n.instances {
		p, ok := pools[ledgerKey(i.Member, i.Pool)]
		if !ok || p.pool.Kind != intent.Engine || i.State != fleet.Live {
			continue
		}
		present[i.ID] = true
		o.keep(i, p)
	}
	for id := range o.engines {
		if !present[id] {
			delete(o.engines, id)
		}
	}
}

// acquired begins a new tenure: the state of all engines is read back before
// the first order.
func (o *ordersDuty) acquired(g grant) {
	o.waitOut = lease.NewTakeoverDelay(g.acquired, longestOrder)
	for _, e := range o.engines {
		e.MustReadBack = true
		e.ReadAt = 0
	}
}

func (o *ordersDuty) keep(i fleet.Instance, p memberPool) {
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

// step makes the calls that are due.
func (o *ordersDuty) step() {
	now := o.clock.Now()
	if !o.grant.isValid(now) {
		return
	}
	gate := order.Limits{AllowUnchecked: o.waitOut.IsOver(now), MaxLoading: o.settings.MaxLoading}
	for _, e := range order.NextOrders(o.engines, gate) {
		o.give(e)
	}
	for _, e := range order.DueReads(o.engines, now) {
		o.read(e)
	}
	o.tellServing()
}

// give sends an order, if the lease is still held right before it.
func (o *ordersDuty) give(e *order.Engine) {
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
	instance := e.Instance
	o.remote.Order(e.Address, o.grant.fence, e.Desired, func(s *order.State, err error) { o.offer(instance, s, err) })
}

func (o *ordersDuty) read(e *order.Engine) {
	if o.inbox.Reserve() != nil {
		return
	}
	e.Busy = true
	instance := e.Instance
	o.remote.State(e.Address, func(s *order.State, err error) { o.offer(instance, s, err) })
}

// offer runs on a thread of the client.
func (o *ordersDuty) offer(instance string, s *order.State, err error) {
	_ = o.inbox.OfferReserved(ordersEvent{answer: &engineAnswer{instance: instance, state: s, err: err}})
}

func (o *ordersDuty) answered(a *engineAnswer) {
	e := o.engines[a.instance]
	if e == nil {
		return
	}
	e.Busy = false
	now := o.clock.Now()
	if a.err == nil {
		e.RecordState(a.state, now)
		return
	}
	var stale *order.StaleError
	if errors.As(a.err, &stale) {
		o.log.Warn().Str("instance", e.Instance).Uint64("fence", stale.Fence).Msg("order_refused_stale")
	}
	e.RecordFailure(now)
}

// tellServing tells the fleet duty which engines can serve, when that changes.
func (o *ordersDuty) tellServing() {
	serving := make(map[string]bool, len(o.engines))
	for id, e := range o.engines {
		if e.State != nil {
			serving[id] = e.CanServe()
		}
	}
	if maps.Equal(serving, o.serving) {
		return
	}
	if o.fleet.Offer(fleetEvent{serving: &servingNews{instances: serving}}) == nil {
		o.serving = serving
	}
}

func (o *ordersDuty) section() report.Section {
	dump := ordersDump{Fence: o.grant.fence, Engines: len(o.engines)}
	for _, e := range o.engines {
		if e.CanServe() {
			dump.Serving++
		}
		if e.MustReadBack {
			dump.ReadBack++
		}
	}
	return report.Section{Name: "orders", State: dump}
}
