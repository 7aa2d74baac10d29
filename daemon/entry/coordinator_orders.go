package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
)

// planInterval is the time between two runs of the planner.
const planInterval = time.Second

// orderUpstreams runs the planner for each service and sends its orders to the
// cloud API. It is called while this gateway holds the lease.
func (c *coordinator) orderUpstreams(now clock.Instant) {
	if !c.ordersUpstreams || c.fleet.catalog == nil || now.Sub(c.plannedAt) < planInterval {
		return
	}
	c.plannedAt = now
	for _, service := range c.fleet.catalog.Services {
		load := c.view.Load(service.Name)
		c.planner.SetReadRate(service.Name, c.readRates[service.Name])
		for _, order := range c.planner.Plan(service, c.fleet.upstreams, load, now) {
			c.order(order, now)
		}
	}
}

func (c *coordinator) order(o scale.Order, now clock.Instant) {
	fence, err := c.lease.Fence(now)
	if err != nil {
		return
	}
	if !c.reserve() {
		c.planner.Refused(o, now)
		return
	}
	c.log.Info().Str("service", o.Service).Str("failure_domain", o.FailureDomain).Bool("reclaimable", o.Reclaimable).
		Int("count", o.Count).Int("have", o.Have).Int("need", o.Need).
		Float64("open", o.Load.Open).Float64("read_tokens_s", o.Load.PromptTokenRate).Uint64("fence", fence).Msg("upstreams_ordered")
	actor := cloud.Actor{Name: c.record.Instance, Fence: fence}
	c.cloud.Order(actor, o.Service, o.FailureDomain, o.Count, o.Reclaimable, func(err error) {
		offerResult(c.inbox, clusterMessage(upstreamsOrdered{order: o, fence: fence, err: err}), c.log)
	})
}

func (c *coordinator) handleUpstreamsOrdered(m upstreamsOrdered, now clock.Instant) {
	if m.err == nil {
		return
	}
	if cloud.IsFenced(m.err) {
		c.metrics.recordRefused(dutyOrders)
	}
	c.log.Warn().Str("service", m.order.Service).Str("failure_domain", m.order.FailureDomain).
		Bool("reclaimable", m.order.Reclaimable).Int("count", m.order.Count).Uint64("fence", m.fence).
		Str("cause", m.err.Error()).Msg("order_refused")
	c.planner.Refused(m.order, now)
}
