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

// Upsert takes what is known of instances. From this call on an instance that
// is leaving gets no new work. timeLeft gives, for a leaving instance, the time
// until it ends; it is nil where the end is not known.
func (c *Core) Upsert(instances []fleet.Instance, timeLeft func(fleet.Instance) (time.Duration, bool), now clock.Instant) {
	changed := make(map[name]bool)
	for _, instance := range instances {
		c.instances[instance.ID] = instance
		changed[name{instance.Member, instance.Pool}] = true
		if instance.State == fleet.Leaving {
			c.leaveUpstream(instance, timeLeft, now)
		}
	}
	for pool := range changed {
		c.chooseSubset(pool)
	}
	c.pump(now)
}

// Remove forgets instances that are gone.
func (c *Core) Remove(ids []string, now clock.Instant) {
	changed := make(map[name]bool)
	for _, id := range ids {
		if instance, known := c.instances[id]; known {
			changed[name{instance.Member, instance.Pool}] = true
		}
		delete(c.instances, id)
		delete(c.routed, id)
		c.router.Remove(id)
	}
	for pool := range changed {
		c.chooseSubset(pool)
	}
	c.pump(now)
}

// ReportLoad takes what an upstream reports about itself.
func (c *Core) ReportLoad(id string, load route.Load, now clock.Instant) {
	c.router.ReportLoad(id, load, now)
	c.pump(now)
}

// Routed lists the instances that requests are routed to here, for probes of
// their load.
func (c *Core) Routed() []fleet.Instance {
	list := make([]fleet.Instance, 0, len(c.routed))
	for id := range c.routed {
		if instance := c.instances[id]; instance.State == fleet.Live {
			list = append(list, instance)
		}
	}
	return list
}

// chooseSubset routes to this gateway's part of a pool. Only live instances
// count, so that those which leave are replaced; those keep their place in the
// router until they are gone, and get no new work.
func (c *Core) chooseSubset(pool name) {
	if c.catalog == nil {
		return
	}
	settings, isConfigured := c.catalog.pools[pool]
	var live []fleet.Instance
	for _, instance := range c.instances {
		if isConfigured && instance.State == fleet.Live && pool == (name{instance.Member, instance.Pool}) {
			live = append(live, instance)
		}
	}
	chosen := subset.Choose(c.cfg.Holder.Instance, live, c.cfg.PoolSubset)
	for _, instance := range c.instances {
		if pool == (name{instance.Member, instance.Pool}) {
			c.routeTo(instance, settings, slices.Contains(chosen, instance.ID))
		}
	}
}

// routeTo adds an instance to the router, or takes it out.
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
