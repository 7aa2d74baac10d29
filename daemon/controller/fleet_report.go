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

// report passes on what is known: to the gateways at once, while the lease is
// held, and to the planner and the orders duty once in an interval.
func (f *fleetDuty) report() {
	now := f.clock.Now()
	instances := f.view.Instances()
	g := f.lease.grant()
	f.noteLive(instances)
	// Without the list and the ledgers, instances that exist would be removed.
	if g.isValid(now) && f.listed && f.ledgersOf == g.fence {
		f.publishChanges(g.fence, instances)
	}
	if now.Before(f.nextReport) {
		return
	}
	f.nextReport = now.Add(f.settings.FleetInterval)
	// A full ring drops the news: the next report replaces it.
	_ = f.planner.Offer(plannerEvent{fleet: &fleetNews{
		version:   f.configuration.Version,
		instances: instances,
		prices:    f.knownPrices(),
		pools:     f.poolStatus(instances),
		leases:    f.leaseStatus(),
	}})
	_ = f.orders.Offer(ordersEvent{fleet: &ordersNews{grant: g, instances: instances, configuration: f.configuration}})
	f.counters.cost.Set(float64(costOf(instances)))
}

// knownPrices returns the prices once the list was read too: a plan needs both.
func (f *fleetDuty) knownPrices() price.List {
	if !f.listed {
		return nil
	}
	return f.prices
}

func costOf(instances []fleet.Instance) (micros int64) {
	for _, i := range instances {
		micros += i.MicrosPerHour
	}
	return micros
}

// takeFollowed notes what the gateways were told, by this or another holder.
func (f *fleetDuty) takeFollowed(n *followedNews) {
	for _, i := range n.upserts {
		f.published[i.ID] = i
	}
	for _, id := range n.removed {
		delete(f.published, id)
	}
}

// publishChanges passes on what differs from what the gateways were told. A new
// fencing number is always passed on, so that news of the former holder is
// dropped.
func (f *fleetDuty) publishChanges(epoch uint64, instances []fleet.Instance) {
	next := make(map[string]fleet.Instance, len(instances))
	var upserts []fleet.Instance
	for _, i := range instances {
		i.State = f.publicState(i)
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
	isSame := len(upserts)+len(removed) == 0 && f.publishedOf == epoch
	if isSame || f.followers.PublishFleet(epoch, upserts, removed) != nil {
		// What was refused differs still at the next step.
		return
	}
	f.published, f.publishedOf = next, epoch
}

// publicState holds an engine back from the gateways until it can serve. One of
// which that is not known, as after a change of the holder, is held back only
// while it is new.
func (f *fleetDuty) publicState(i fleet.Instance) fleet.State {
	if i.State != fleet.Live || !f.isEngine(i) {
		return i.State
	}
	canServe, known := f.serving[i.ID]
	if !known {
		canServe = f.clock.Now().Sub(f.liveSince[i.ID]) > readLimit
	}
	if canServe {
		return fleet.Live
	}
	return fleet.Starting
}

// readLimit is the time in which the state of a new engine is read.
const readLimit = 3 * time.Second

// noteLive notes when each instance was first seen live.
func (f *fleetDuty) noteLive(instances []fleet.Instance) {
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
		if k := f.keepers[key]; k != nil && k.target.Total() > 0 {
			s.Desired = k.target.Total()
		}
		for _, i := range instances {
			if i.Member == p.member && i.Pool == p.pool.Name {
				count(&s, i)
			}
		}
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Member+"/"+list[i].Pool < list[j].Member+"/"+list[j].Pool
	})
	return list
}

func count(s *operator.PoolStatus, i fleet.Instance) {
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

func (f *fleetDuty) section() report.Section {
	dump := fleetDump{
		Version:   f.configuration.Version,
		Listed:    f.listed,
		Prices:    len(f.prices),
		Instances: f.view.Instances(),
		Leases:    f.leaseStatus(),
		Ledgers:   []ledgerDump{},
	}
	for key, k := range f.keepers {
		dump.Ledgers = append(dump.Ledgers, ledgerDump{Pool: key.Sort, Version: k.version, Holdings: k.saved.Clone().Holdings, Target: k.target, Unsettled: k.unsettled != nil})
	}
	sort.Slice(dump.Ledgers, func(i, j int) bool { return dump.Ledgers[i].Pool < dump.Ledgers[j].Pool })
	return report.Section{Name: "fleet", State: dump}
}
