package scale

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// onDemandShare is the number of on-demand upstreams for each that the load
	// needs.
	onDemandShare = 0.75
	// leastOnDemand is the least number of them in each failure domain.
	leastOnDemand = 1
	// spareShare is the number of reclaimable upstreams for each that the load
	// needs.
	spareShare = 1.2
	// orderSlack is how long after their boot ordered upstreams may be missing
	// before they are ordered again.
	orderSlack = 3 * time.Second
	// refusalWait is the wait after an order that was refused.
	refusalWait = 2 * time.Second
)

// Planner plans the upstreams of all services. One thread owns it.
type Planner struct {
	orders map[subject]standing
	trends map[string]*trend
}

// NewPlanner makes a planner that knows of no order.
func NewPlanner() *Planner {
	return &Planner{orders: make(map[subject]standing), trends: make(map[string]*trend)}
}

// Plan returns the orders that are due for a service.
func (p *Planner) Plan(s *catalog.Service, upstreams []*catalog.Upstream, load Load, now clock.Instant) []Order {
	if s.Autoscaling == nil || s.Engine == nil || s.Autoscaling.ReclaimablePrice <= 0 || s.Autoscaling.ReclaimablePrice >= 1 {
		return nil
	}
	domains := domainsOf(s, upstreams)
	if len(domains) == 0 {
		return nil
	}
	have := count(s.Name, upstreams)
	t := p.trend(s.Name)
	t.follow(load, s.Engine.Slots, sum(have, false), sum(have, true), now)
	spares := 0
	var due []Order
	for i, domain := range domains {
		plain := subject{service: s.Name, failureDomain: domain}
		reclaimable := subject{service: s.Name, failureDomain: domain, reclaimable: true}
		keep := part(max(onDemandShare*float64(t.need), float64(t.need-sum(have, true))), i, len(domains))
		keep = min(max(keep, leastOnDemand, s.Autoscaling.Min), s.Autoscaling.Max)
		// Both kinds share the bound, so that room for one kind is what there is
		// of the other, or will be.
		spare := max(min(part(spareShare*float64(t.need), 0, len(domains)), s.Autoscaling.Max-max(keep, have[plain])), 0)
		spares += spare
		if t.isSettled(now) {
			due = p.consider(due, plain, keep, have[plain], t.need, load, s, now)
		}
		due = p.consider(due, reclaimable, spare, have[reclaimable], t.need, load, s, now)
	}
	t.spare = spares
	return due
}

// trend returns that of a service.
func (p *Planner) trend(service string) *trend {
	t := p.trends[service]
	if t == nil {
		t = &trend{}
		p.trends[service] = t
	}
	return t
}

// consider adds an order if one is due.
func (p *Planner) consider(due []Order, s subject, wanted, have, need int, load Load, service *catalog.Service, now clock.Instant) []Order {
	last, ordered := p.orders[s]
	if now.Before(last.refusedUntil) {
		return due
	}
	if !ordered && wanted == have {
		return due
	}
	if ordered && last.count == wanted {
		if wanted == have || now.Sub(last.at) < service.Autoscaling.BootTime+orderSlack {
			return due
		}
	}
	p.orders[s] = standing{count: wanted, at: now}
	return append(due, Order{
		Service: s.service, FailureDomain: s.failureDomain, Reclaimable: s.reclaimable,
		Count: wanted, Have: have, Need: need, Load: load,
	})
}

// Refused notes that an order was not taken. It is made again after a while.
func (p *Planner) Refused(o Order, now clock.Instant) {
	s := subject{service: o.Service, failureDomain: o.FailureDomain, reclaimable: o.Reclaimable}
	p.orders[s] = standing{count: -1, at: now, refusedUntil: now.Add(refusalWait)}
}
