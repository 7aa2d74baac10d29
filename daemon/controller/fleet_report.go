package controller

import (
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// report publishes changes to the gateways at once while the lease is held, and
// sends snapshots to the planner and the orders duty once per interval.
func (f *fleetDuty) report() {
	now := f.clock.Now()
	instances := f.view.Instances()
	g := f.lease.grant()
	f.trackLive(instances)
	// Without the list and the ledgers, existing instances would be published as
	// removed.
	if g.isValid(now) && f.hasList && f.ledgersFence == g.fence {
		f.publishChanges(g.fence, instances)
	}
	if now.Before(f.nextReport) {
		return
	}
	f.nextReport = now.Add(f.settings.FleetInterval)
	// A snapshot dropped by a full ring is replaced by the next one.
	_ = f.planner.Offer(plannerEvent{fleet: &fleetSnapshot{
		version:   f.configuration.Version,
		instances: instances,
		prices:    f.plannerPrices(),
		pools:     f.poolStatus(instances),
		leases:    f.leaseStatus(),
	}})
	_ = f.orders.Offer(ordersEvent{snapshot: &ordersSnapshot{grant: g, instances: instances, configuration: f.configuration}})
	f.counters.cost.Set(float64(totalCost(instances)))
}

// plannerPrices returns the prices once the instance list was read too, because
// a plan needs both.
func (f *fleetDuty) plannerPrices() price.List {
	if !f.hasList {
		return nil
	}
	return f.prices
}

func totalCost(instances []fleet.Instance) (micros int64) {
	for _, i := range instances {
		micros += i.MicrosPerHour
	}
	return micros
}

// recordPublished records what this or another controller has published to the
// gateways.
func (f *fleetDuty) recordPublished(u *publishedUpdate) {
	for _, i := range u.upserts {
		f.published[i.ID] = i
	}
	for _, id := range u.removed {
		delete(f.published, id)
	}
}

// publishChanges publishes the differences from what was published before. It
// always publishes under a new fencing number, even without differences, so
// that the gateways ignore later changes by the previous holder.
func (f *fleetDuty) publishChanges(epoch uint64, instances []fleet.Instance) {
	next := make(map[string]fleet.Instance, len(instances))
	var upserts []fleet.Instance
	for _, i := range instances {
		i.State = f.publishedState(i)
		next[i.ID] = i
		if f.published[i.ID] != i {
			upserts = append(upserts, i)
		}
	}
	var removed []string
	for id := range f.published {
		if _, ok := next[id]; !ok {
			removed = append(removed, id)
		}
	}
	unchanged := len(upserts)+len(removed) == 0 && f.publishedFence == epoch
	if unchanged || f.publisher.PublishFleet(epoch, upserts, removed) != nil {
		// After a failure the next report finds the same differences.
		return
	}
	f.published, f.publishedFence = next, epoch
}

// publishedState publishes an engine as starting until it can serve. An engine
// whose state is not known, as after a change of the lease holder, counts as
// unable to serve only for engineReadTimeout after it was first seen live.
func (f *fleetDuty) publishedState(i fleet.Instance) fleet.State {
	if i.State != fleet.Live || !f.isEngine(i) {
		return i.State
	}
	canServe, known := f.serving[i.ID]
	if !known {
		canServe = f.clock.Now().Sub(f.liveSince[i.ID]) > engineReadTimeout
	}
	if canServe {
		return fleet.Live
	}
	return fleet.Starting
}

// engineReadTimeout is the time in which the state of a new engine is expected
// to be read.
const engineReadTimeout = 3 * time.Second

// trackLive records when each instance was first seen live.
func (f *fleetDuty) trackLive(instances []fleet.Instance) {
	since := make(map[string]clock.Instant, len(instances))
	for _, i := range instances {
		if i.State != fleet.Live {
			continue
		}
		at, ok := f.liveSince[i.ID]
		if !ok {
			at = f.clock.Now()
		}
		since[i.ID] = at
	}
	f.liveSince = since
}

func (f *fleetDuty) isEngine(i fleet.Instance) bool {
	p, ok := f.pools[ledgerKey(i.Member, i.Pool)]
	return ok && p.pool.Kind == intent.Engine
}

func (f *fleetDuty) poolStatus(instances []fleet.Instance) []operator.PoolStatus {
	list := []operator.PoolStatus{}
	for key, p := range f.pools {
		s := operator.PoolStatus{Member: p.member, Pool: p.pool.Name, Desired: p.pool.Replicas}
		if reconciler := f.reconcilers[key]; reconciler != nil && reconciler.target.Total() > 0 {
			s.Desired = reconciler.target.Total()
		}
		for _, i := range instances {
			if i.Member == p.member && i.Pool == p.pool.Name {
				addToStatus(&s, i)
			}
		}
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Member+"/"+list[i].Pool < list[j].Member+"/"+list[j].Pool
	})
	return list
}

func addToStatus(s *operator.PoolStatus, i fleet.Instance) {
	s.MicrosPerHour += intent.Micros(i.MicrosPerHour)
	switch i.State {
	case fleet.Starting:
		s.Starting++
	case fleet.Live:
		s.Live++
	case fleet.Leaving:
		s.Leaving++
	}
}

func (f *fleetDuty) leaseStatus() []operator.LeaseStatus {
	record := f.lease.lease.LastKnown()
	return []operator.LeaseStatus{{
		Duty:   fleetLease,
		Holder: record.Holder.Instance,
		Fence:  record.Fence,
		Held:   f.lease.grant().isValid(f.clock.Now()),
	}}
}

func (f *fleetDuty) dumpSection() report.Section {
	dump := fleetDump{
		Version:   f.configuration.Version,
		Listed:    f.hasList,
		Prices:    len(f.prices),
		Instances: f.view.Instances(),
		Leases:    f.leaseStatus(),
		Ledgers:   []ledgerDump{},
	}
	for key, reconciler := range f.reconcilers {
		dump.Ledgers = append(dump.Ledgers, ledgerDump{Pool: key.Sort, Version: reconciler.version, Holdings: reconciler.saved.Clone().Holdings, Target: reconciler.target, Unsettled: reconciler.unsettled != nil})
	}
	sort.Slice(dump.Ledgers, func(i, j int) bool { return dump.Ledgers[i].Pool < dump.Ledgers[j].Pool })
	return report.Section{Name: "fleet", State: dump}
}
