package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// planEvery is the time between two looks at what is to be ordered.
const planEvery = time.Second

// plan orders upstreams while this gateway holds the duties.
func (c *clusterer) plan(now clock.Instant) {
	if !c.orders || c.fleet.catalog == nil || now.Sub(c.planned) < planEvery {
		return
	}
	c.planned = now
	for _, service := range c.fleet.catalog.Services {
		load := c.view.Load(service.Name)
		for _, order := range c.planner.Plan(service, c.fleet.upstreams, load, now) {
			c.order(order, now)
		}
	}
}

func (c *clusterer) order(o scale.Order, now clock.Instant) {
	fence, err := c.lease.Fence(now)
	if err != nil || fence == c.barred {
		return
	}
	if !c.reserve() {
		c.planner.Refused(o, now)
		return
	}
	c.log.Info().Str("service", o.Service).Str("failure_domain", o.FailureDomain).Bool("reclaimable", o.Reclaimable).
		Int("count", o.Count).Int("have", o.Have).Int("need", o.Need).
		Float64("open", o.Load.Open).Float64("read_tokens_s", o.Load.PromptTokenRate).Uint64("fence", fence).Msg("upstreams_ordered")
	actor := cloud.Actor{Name: c.card.Instance, Fence: fence}
	c.cloud.Order(actor, o.Service, o.FailureDomain, o.Count, o.Reclaimable, func(err error) {
		answer(c.inbox, clusterMessage(ordered{order: o, fence: fence, err: err}), c.log)
	})
}

func (c *clusterer) ordered(m ordered, now clock.Instant) {
	if m.err == nil {
		return
	}
	c.log.Warn().Str("service", m.order.Service).Str("failure_domain", m.order.FailureDomain).
		Bool("reclaimable", m.order.Reclaimable).Int("count", m.order.Count).Uint64("fence", m.fence).
		Str("cause", m.err.Error()).Msg("order_refused")
	c.planner.Refused(m.order, now)
}
