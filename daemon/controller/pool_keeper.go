package controller

import (
	"encoding/json"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/place"
)

// callRetry is the time from a call of unknown outcome to the next try.
const callRetry = 2 * time.Second

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
	open     map[string]bool
	retryAt  map[string]clock.Instant
	writing  bool
	stale    bool
	target   place.Target
	targeter targeter
	// drain is how long instances drain, as last known.
	drain time.Duration
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
		drain:   maxDrain,
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
		k.fleet.view.AddStarted(k.instanceOf(h), k.fleet.clock.Now())
		if h.State == place.Ending {
			k.fleet.view.MarkLeaving(h.Instance, h.EndAt)
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

// step makes the calls and the write that are due. Wanted is nil if the
// configuration no longer has the pool.
func (k *poolKeeper) step(wanted *memberPool) {
	if k.writing {
		return
	}
	var pool *intent.Pool
	if wanted != nil {
		pool, k.drain = wanted.pool, wanted.drain()
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
	for _, id := range draft.Missing(instances) {
		draft.Remove(id)
	}
	draft.Adopt(instances)
	return draft
}

// plan adds the next starts and ends to a ledger.
func (k *poolKeeper) plan(pool *intent.Pool, draft *place.Ledger) {
	instances := k.instances()
	k.target = k.targeter.choose(k.fleet.requestOf(pool, instances))
	next := place.NextStep(&k.target, instances)
	for _, o := range next.Starts {
		offer, ok := k.fleet.prices.Find(o.FailureDomain, o.MachineClass, o.Reclaimable)
		if !ok || !k.fleet.mayBuy(k, draft, offer.MicrosPerHour) {
			continue
		}
		draft.AddOrdered(k.key().String(), k.version, offer)
	}
	for _, id := range next.Ends {
		draft.MarkEnding(id, k.fleet.now().Add(k.drainOf(id)).UTC())
	}
}

// drainOf returns how long an instance drains: one that takes no work yet need
// not.
func (k *poolKeeper) drainOf(id string) time.Duration {
	if i, ok := k.fleet.view.Find(id); ok && i.State == fleet.Starting {
		return 0
	}
	return k.drain
}

func (k *poolKeeper) instances() []fleet.Instance {
	return k.fleet.instancesOf(k.member, k.pool)
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
