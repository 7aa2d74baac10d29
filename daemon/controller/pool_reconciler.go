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

// callRetryDelay is the delay before retrying a cloud call whose outcome is
// unknown.
const callRetryDelay = 2 * time.Second

// poolReconciler brings one pool to its target placement. It owns the pool's
// ledger, as last saved, and the outcomes since. It makes cloud calls only for
// starts and ends in the saved ledger.
type poolReconciler struct {
	fleet    *fleetDuty
	member   string
	pool     string
	version  uint64
	saved    *place.Ledger
	outcomes []outcome
	// pendingCalls holds the tokens and instances with a call in flight, or with
	// an outcome that is not saved yet.
	pendingCalls     map[string]bool
	retryAt          map[string]clock.Instant
	tableCallPending bool
	stale            bool
	target           place.Target
	targets          targetCache
	// drainTime is the drain time of the pool's instances, as last configured.
	drainTime time.Duration
	// unsettled is the costliest ledger among writes that are in flight or have an
	// unknown outcome. It is cleared when a write succeeds or the row is read with
	// a new version.
	unsettled *place.Ledger
}

func newPoolReconciler(f *fleetDuty, member, pool string) *poolReconciler {
	return &poolReconciler{
		fleet:        f,
		member:       member,
		pool:         pool,
		saved:        &place.Ledger{},
		drainTime:    maxDrainTime,
		pendingCalls: make(map[string]bool),
		retryAt:      make(map[string]clock.Instant),
	}
}

// load takes over the ledger from its row.
func (p *poolReconciler) load(r row.Row) error {
	ledger := &place.Ledger{}
	if r.Version > 0 {
		if err := json.Unmarshal(r.Value, ledger); err != nil {
			return &RowError{Key: r.Key, Err: err}
		}
	}
	if r.Version != p.version {
		p.unsettled = nil
	}
	p.version, p.saved, p.stale = r.Version, ledger, false
	for _, h := range ledger.Holdings {
		if h.State == place.Ordered {
			continue
		}
		p.fleet.view.AddStarted(p.placeholder(h), p.fleet.clock.Now())
		if h.State == place.Ending {
			p.fleet.view.MarkLeaving(h.Instance, h.EndAt)
		}
	}
	return nil
}

// placeholder returns the instance of a holding, for a view whose instance list
// does not include it yet.
func (p *poolReconciler) placeholder(h place.Holding) fleet.Instance {
	return fleet.Instance{
		ID:            h.Instance,
		Member:        p.member,
		Pool:          p.pool,
		FailureDomain: h.FailureDomain,
		MachineClass:  h.MachineClass,
		Reclaimable:   h.Reclaimable,
		State:         fleet.Starting,
		MicrosPerHour: h.MicrosPerHour,
	}
}

// reconcile makes the cloud calls and the ledger write that are due. configured
// is nil if the configuration no longer has the pool.
func (p *poolReconciler) reconcile(configured *memberPool) {
	if p.tableCallPending {
		return
	}
	var pool *intent.Pool
	if configured != nil {
		pool, p.drainTime = configured.pool, configured.drainTime()
	}
	if p.stale {
		p.reload()
		return
	}
	p.issueCalls()
	draft := p.draft()
	if len(draft.Ordered()) == 0 {
		p.planChanges(pool, draft)
	}
	p.save(draft)
}

// draft returns the saved ledger with the outcomes and instance changes since
// then.
func (p *poolReconciler) draft() *place.Ledger {
	draft := p.saved.Clone()
	for _, o := range p.outcomes {
		o.apply(draft)
	}
	instances := p.instances()
	for _, id := range draft.Missing(instances) {
		draft.Remove(id)
	}
	draft.Adopt(instances)
	return draft
}

// planChanges adds the next starts and ends to a draft.
func (p *poolReconciler) planChanges(pool *intent.Pool, draft *place.Ledger) {
	instances := p.instances()
	p.target = p.targets.get(p.fleet.placementRequest(pool, instances))
	next := place.NextStep(&p.target, instances)
	for _, o := range next.Starts {
		offer, ok := p.fleet.prices.Find(o.FailureDomain, o.MachineClass, o.Reclaimable)
		if !ok || !p.fleet.canAfford(p, draft, offer.MicrosPerHour) {
			continue
		}
		draft.AddOrdered(p.key().String(), p.version, offer)
	}
	for _, id := range next.Ends {
		draft.MarkEnding(id, p.fleet.now().Add(p.instanceDrainTime(id)).UTC())
	}
}

// instanceDrainTime returns the drain time of an instance. One that is still
// starting takes no work, so it needs no drain.
func (p *poolReconciler) instanceDrainTime(id string) time.Duration {
	if i, ok := p.fleet.view.Find(id); ok && i.State == fleet.Starting {
		return 0
	}
	return p.drainTime
}

func (p *poolReconciler) instances() []fleet.Instance {
	return p.fleet.poolInstances(p.member, p.pool)
}

// maxCost returns the highest hourly cost that the pool can have, whatever the
// outcome of its last write.
func (p *poolReconciler) maxCost() int64 {
	return costlier(p.unsettled, p.saved).MicrosPerHour()
}

// costlier returns the ledger with the higher price; a may be nil.
func costlier(a, b *place.Ledger) *place.Ledger {
	if a != nil && a.MicrosPerHour() > b.MicrosPerHour() {
		return a
	}
	return b
}

func (p *poolReconciler) key() row.Key {
	return ledgerKey(p.member, p.pool)
}
