package dispatch

import (
	"slices"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
	"github.com/sycamorecourse/sycamorecourse/serving/subset"
)

// UpsertInstances adds or updates instances. From this call on a leaving
// instance gets no new work, and requests that it can't finish in time are
// moved. timeLeft returns the time until a leaving instance ends, or false if
// that is not known.
func (c *Core) UpsertInstances(instances []fleet.Instance, timeLeft func(fleet.Instance) (time.Duration, bool), now clock.Instant) {
	changed := make(map[qualifiedName]bool)
	for _, instance := range instances {
		c.instances[instance.ID] = instance
		changed[qualifiedName{instance.Member, instance.Pool}] = true
		if instance.State == fleet.Leaving {
			c.drainUpstream(instance, timeLeft, now)
		}
	}
	for pool := range changed {
		c.chooseSubset(pool)
	}
	c.startQueued(now)
}

// RemoveInstances removes instances that have ended.
func (c *Core) RemoveInstances(ids []string, now clock.Instant) {
	changed := make(map[qualifiedName]bool)
	for _, id := range ids {
		if instance, known := c.instances[id]; known {
			changed[qualifiedName{instance.Member, instance.Pool}] = true
		}
		delete(c.instances, id)
		delete(c.routed, id)
		c.router.Remove(id)
	}
	for pool := range changed {
		c.chooseSubset(pool)
	}
	c.startQueued(now)
}

// ReportLoad passes a load report of an upstream to the router.
func (c *Core) ReportLoad(id string, load route.Load, now clock.Instant) {
	c.router.ReportLoad(id, load, now)
	c.startQueued(now)
}

// RoutedInstances returns the live instances that this gateway routes requests
// to, whose load is to be probed.
func (c *Core) RoutedInstances() []fleet.Instance {
	list := make([]fleet.Instance, 0, len(c.routed))
	for id := range c.routed {
		if instance := c.instances[id]; instance.State == fleet.Live {
			list = append(list, instance)
		}
	}
	return list
}

// chooseSubset chooses which instances of a pool this gateway routes to. Only
// live instances are chosen, so leaving ones are replaced. Those stay in the
// router, without new work, until they are removed.
func (c *Core) chooseSubset(pool qualifiedName) {
	if c.catalog == nil {
		return
	}
	settings, isConfigured := c.catalog.pools[pool]
	var live []fleet.Instance
	for _, instance := range c.instances {
		if isConfigured && instance.State == fleet.Live && pool == (qualifiedName{instance.Member, instance.Pool}) {
			live = append(live, instance)
		}
	}
	chosen := subset.Choose(c.cfg.Holder.Instance, live, c.cfg.PoolSubset)
	for _, instance := range c.instances {
		if pool == (qualifiedName{instance.Member, instance.Pool}) {
			c.routeTo(instance, settings, slices.Contains(chosen, instance.ID))
		}
	}
}

// routeTo adds an instance to the router, updates it there or removes it.
func (c *Core) routeTo(instance fleet.Instance, pool intent.Pool, isChosen bool) {
	isLeaving := instance.State == fleet.Leaving && c.routed[instance.ID]
	if !isChosen && !isLeaving {
		if c.routed[instance.ID] {
			delete(c.routed, instance.ID)
			c.router.Remove(instance.ID)
		}
		return
	}
	c.routed[instance.ID] = true
	c.router.Upsert(route.Replica{
		ID:            instance.ID,
		Pool:          poolName(instance.Member, instance.Pool),
		Model:         pool.Model,
		Address:       instance.Address,
		FailureDomain: instance.FailureDomain,
		MachineClass:  instance.MachineClass,
		MicrosPerHour: instance.MicrosPerHour,
		Reclaimable:   instance.Reclaimable,
		MaxConcurrent: pool.MaxConcurrent,
		State:         instance.State,
	})
}
