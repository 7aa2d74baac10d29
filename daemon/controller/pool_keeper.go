package controller

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

const (
	// callRetry is the time from a call of unknown outcome to the next try.
	callRetry = 2 * time.Second
	// endDrain is how long an instance that is ended by plan takes no new work
	// before it is ended.
	endDrain = 60 * time.Second
)

// poolKeeper brings one pool to its target. It owns the pool's ledger: what was
// saved, and the outcomes since. Calls are made only for what was saved.
type poolKeeper struct {
	fleet    *fleetDuty
	member   string
	pool     string
	version  uint64
	saved    *place.Ledger
	outcomes []outcome
	// open holds the tokens and instances whose call has no noted outcome.
	open    map[string]bool
	retryAt map[string]clock.Instant
	writing bool
	stale   bool
	target  place.Target
	// unsettled is the ledger of a write that is under way or has an unknown
	// outcome. It is settled when a write succeeds or the row has changed.
	unsettled *place.Ledger
}

func newPoolKeeper(f *fleetDuty, member, pool string) *poolKeeper {
	return &poolKeeper{
		fleet:   f,
		member:  member,
		pool:    pool,
		saved:   &place.Ledger{},
		open:    make(map[string]bool),
		retryAt: make(map[string]clock.Instant),
	}
}

// take takes the ledger as read.
func (k *poolKeeper) take(r row.Row) error {
	ledger := &place.Ledger{}
	if r.Version > 0 {
		if err := json.Unmarshal(r.Value, ledger); err != nil {
			return &RowError{Key: r.Key, Err: err}
		}
	}
	if r.Version != k.version {
		k.unsettled = nil
	}
	k.version, k.saved, k.stale = r.Version, ledger, false
	for _, h := range ledger.Holdings {
		if h.State == place.Ordered {
			continue
		}
		k.fleet.view.Start(k.instanceOf(h), k.fleet.clock.Now())
		if h.State == place.Ending {
			k.fleet.view.Leave(h.Instance, h.EndAt)
		}
	}
	return nil
}

// instanceOf returns the instance of a holding for a view that has not seen it
// in the list yet.
func (k *poolKeeper) instanceOf(h place.Holding) fleet.Instance {
	return fleet.Instance{
		ID:            h.Instance,
		Member:        k.member,
		Pool:          k.pool,
		FailureDomain: h.FailureDomain,
		MachineClass:  h.MachineClass,
		Reclaimable:   h.Reclaimable,
		State:         fleet.Starting,
		MicrosPerHour: h.MicrosPerHour,
	}
}

// step makes the calls and the write that are due. Pool is nil if the
// configuration no longer has the pool.
func (k *poolKeeper) step(pool *intent.Pool) {
	if k.writing {
		return
	}
	if k.stale {
		k.reload()
		return
	}
	k.carryOut()
	draft := k.draft()
	if len(draft.Ordered()) == 0 {
		k.plan(pool, draft)
	}
	k.save(draft)
}

// draft is the saved ledger with all that is known since.
func (k *poolKeeper) draft() *place.Ledger {
	draft := k.saved.Clone()
	for _, o := range k.outcomes {
		o.apply(draft)
	}
	instances := k.instances()
	for _, id := range draft.Gone(instances) {
		draft.Remove(id)
	}
	draft.Adopt(instances)
	return draft
}

// plan adds the next starts and ends to a ledger.
func (k *poolKeeper) plan(pool *intent.Pool, draft *place.Ledger) {
	k.target = k.fleet.targetOf(k.member, pool)
	next := place.Next(&k.target, k.instances())
	for _, o := range next.Starts {
		offer, ok := k.fleet.prices.Find(o.FailureDomain, o.MachineClass, o.Reclaimable)
		if !ok || !k.fleet.mayBuy(k, draft, offer.MicrosPerHour) {
			continue
		}
		draft.Order(k.key().String(), k.version, offer)
	}
	for _, id := range next.Ends {
		draft.End(id, k.fleet.now().Add(k.drainOf(id)).UTC())
	}
}

// drainOf returns how long an instance drains: one that takes no work yet need
// not.
func (k *poolKeeper) drainOf(id string) time.Duration {
	if i, ok := k.fleet.view.Find(id); ok && i.State == fleet.Starting {
		return 0
	}
	return endDrain
}

func (k *poolKeeper) instances() []fleet.Instance {
	return k.fleet.instancesOf(k.member, k.pool)
}

// carryOut calls the cloud for what the saved ledger orders.
func (k *poolKeeper) carryOut() {
	for _, h := range k.saved.Ordered() {
		k.start(h)
	}
	for _, h := range k.saved.Ending() {
		k.fleet.view.Leave(h.Instance, h.EndAt)
	}
	for _, h := range k.saved.Due(k.fleet.now()) {
		k.end(h)
	}
}

// mayCall reports whether a call may be made now, and notes it.
func (k *poolKeeper) mayCall(name string) bool {
	now := k.fleet.clock.Now()
	if k.open[name] || now.Before(k.retryAt[name]) || !k.fleet.lease.grant().isValid(now) {
		return false
	}
	k.open[name] = true
	return true
}

// again lets a call be made later whose outcome is unknown.
func (k *poolKeeper) again(name string) {
	delete(k.open, name)
	k.retryAt[name] = k.fleet.clock.Now().Add(callRetry)
}

func (k *poolKeeper) start(h place.Holding) {
	if !k.mayCall(h.Token) {
		return
	}
	request := StartRequest{Token: h.Token, Member: k.member, Pool: k.pool, Option: h.Option}
	err := k.fleet.calls.begin(func(resume func(func())) {
		k.fleet.cloud.Start(request, func(i fleet.Instance, err error) {
			resume(func() { k.started(h, i, err) })
		})
	})
	if err != nil {
		k.again(h.Token)
	}
}

func (k *poolKeeper) started(h place.Holding, i fleet.Instance, err error) {
	f := k.fleet
	var refused *StartRefusedError
	switch {
	case err == nil:
		f.counters.started.Inc()
		f.backoff.Succeed(h.Option)
		f.view.Start(i, f.clock.Now())
		k.outcomes = append(k.outcomes, outcome{token: h.Token, instance: i.ID})
		f.log.Info().Str("instance", i.ID).Str("pool", k.pool).Str("failure_domain", h.FailureDomain).
			Str("class", h.MachineClass).Bool("reclaimable", h.Reclaimable).Msg("instance_started")
	case errors.As(err, &refused):
		f.counters.rejected.Inc()
		f.backoff.Refuse(h.Option, f.clock.Now())
		k.outcomes = append(k.outcomes, outcome{token: h.Token})
		f.log.Warn().Str("pool", k.pool).Str("failure_domain", h.FailureDomain).Str("class", h.MachineClass).
			Bool("reclaimable", h.Reclaimable).Str("cause", err.Error()).Msg("start_refused")
	default:
		k.again(h.Token)
	}
}

func (k *poolKeeper) end(h place.Holding) {
	if !k.mayCall(h.Instance) {
		return
	}
	err := k.fleet.calls.begin(func(resume func(func())) {
		k.fleet.cloud.End(h.Instance, func(err error) {
			resume(func() { k.hasEnded(h, err) })
		})
	})
	if err != nil {
		k.again(h.Instance)
	}
}

func (k *poolKeeper) hasEnded(h place.Holding, err error) {
	if err != nil {
		k.again(h.Instance)
		return
	}
	k.fleet.counters.ended.Inc()
	k.fleet.view.End(h.Instance)
	k.outcomes = append(k.outcomes, outcome{instance: h.Instance, ended: true})
	k.fleet.log.Info().Str("instance", h.Instance).Str("pool", k.pool).Msg("instance_ended")
}

// save writes a ledger that differs from the saved one.
func (k *poolKeeper) save(draft *place.Ledger) {
	if (draft.Equal(k.saved) && k.unsettled == nil) || !k.fleet.lease.grant().isValid(k.fleet.clock.Now()) {
		return
	}
	// A ledger holds only text, numbers and times, which always encode.
	value, _ := json.Marshal(draft)
	changes := []row.Change{
		{Key: k.key(), Expect: k.version, Value: value},
		{Key: fenceKey(), Expect: k.fleet.fenceVersion, Check: true},
	}
	noted := len(k.outcomes)
	k.writing, k.unsettled = true, dearer(k.unsettled, draft)
	err := k.fleet.calls.begin(func(resume func(func())) {
		k.fleet.table.Write(row.Transaction{Changes: changes}, func(err error) {
			resume(func() { k.written(draft, noted, err) })
		})
	})
	if err != nil {
		k.writing = false
	}
}

func (k *poolKeeper) written(draft *place.Ledger, noted int, err error) {
	k.writing = false
	var away *row.UnavailableError
	var conflict *row.ConflictError
	switch {
	case err == nil:
		k.version++
		k.saved, k.unsettled = draft, nil
		for _, o := range k.outcomes[:noted] {
			delete(k.open, o.token)
			delete(k.open, o.instance)
		}
		k.outcomes = k.outcomes[noted:]
		k.fleet.wake()
	case errors.As(err, &away):
		// Nothing was written: the next step tries again.
	case errors.As(err, &conflict) && conflict.Key == fenceKey():
		// Another controller has acquired the lease.
		k.fleet.ledgersOf = 0
	default:
		// The outcome is unknown, or an earlier write has taken effect.
		k.stale = true
	}
}

// reload reads the ledger again.
func (k *poolKeeper) reload() {
	k.writing = true
	err := k.fleet.calls.begin(func(resume func(func())) {
		k.fleet.table.Read(k.key(), func(r row.Row, err error) {
			resume(func() {
				k.writing = false
				if err == nil {
					err = k.take(r)
				}
				k.stale = err != nil
			})
		})
	})
	if err != nil {
		k.writing = false
	}
}

// cost returns what the pool costs an hour at most, whatever became of its last
// write.
func (k *poolKeeper) cost() int64 {
	return dearer(k.unsettled, k.saved).MicrosPerHour()
}

// dearer returns the ledger with the higher price; a may be nil.
func dearer(a, b *place.Ledger) *place.Ledger {
	if a != nil && a.MicrosPerHour() > b.MicrosPerHour() {
		return a
	}
	return b
}

func (k *poolKeeper) key() row.Key {
	return ledgerKey(k.member, k.pool)
}
