package dispatch

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// Upsert takes what is known of instances. From this call on an instance that
// is leaving gets no new work. timeLeft gives, for a leaving instance, the time
// until it ends; it is nil where the end is not known.
func (c *Core) Upsert(instances []fleet.Instance, timeLeft func(fleet.Instance) (time.Duration, bool), now clock.Instant) {
	for _, instance := range instances {
		c.instances[instance.ID] = instance
		c.upsert(instance)
		if instance.State == fleet.Leaving {
			c.leaveUpstream(instance, timeLeft, now)
		}
	}
	c.pump(now)
}

// Remove forgets instances that are gone.
func (c *Core) Remove(ids []string, now clock.Instant) {
	for _, id := range ids {
		delete(c.instances, id)
		c.router.Remove(id)
	}
	c.pump(now)
}

// ReportLoad takes what an upstream reports about itself.
func (c *Core) ReportLoad(id string, load route.Load, now clock.Instant) {
	c.router.ReportLoad(id, load, now)
	c.pump(now)
}

// Instances lists the instances known, for probes of their load.
func (c *Core) Instances() []fleet.Instance {
	list := make([]fleet.Instance, 0, len(c.instances))
	for _, instance := range c.instances {
		list = append(list, instance)
	}
	return list
}

func (c *Core) upsert(instance fleet.Instance) {
	if instance.State == fleet.Gone {
		c.router.Remove(instance.ID)
		return
	}
	if c.catalog == nil {
		return
	}
	pool, ok := c.catalog.pools[name{instance.Member, instance.Pool}]
	if !ok {
		c.router.Remove(instance.ID)
		return
	}
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
