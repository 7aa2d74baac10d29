package scale

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// maxOnDemandRatio is the number of on-demand upstreams per required upstream with
	// up to fewDomains failure domains. Reclaims take one failure domain after the
	// other: of few domains all may be gone before others have booted. Each further
	// domain lowers the ratio by onDemandPerDomain, down to minOnDemandRatio.
	maxOnDemandRatio  = 0.75
	minOnDemandRatio  = 0.35
	onDemandPerDomain = 0.2
	fewDomains        = 3
	// minOnDemand is the least number of on-demand upstreams in a failure domain.
	minOnDemand = 1
	// reclaimableRatio is the number of reclaimable upstreams per required upstream.
	reclaimableRatio = 1.8
	// bootGrace is the time beyond the boot time of a service after which an order
	// that has not been fulfilled is repeated.
	bootGrace = 3 * time.Second
	// refusalBackoff is the time from a refused order to the next try.
	refusalBackoff = 2 * time.Second
)

// Planner decides the orders for all services. It is used by one thread.
type Planner struct {
	lastOrders map[groupKey]lastOrder
	estimates  map[string]*capacityEstimate
}

// NewPlanner makes a planner that has placed no orders.
func NewPlanner() *Planner {
	return &Planner{lastOrders: make(map[groupKey]lastOrder), estimates: make(map[string]*capacityEstimate)}
}

// Plan returns the orders that are due for a service, given its upstreams and its
// load over all gateways. There are none for a service that has no model engine or
// no reclaimable upstreams at a lower price.
func (p *Planner) Plan(s *catalog.Service, upstreams []*catalog.Upstream, load Load, now clock.Instant) []Order {
	if s.Autoscaling == nil || s.Engine == nil || s.Autoscaling.ReclaimablePrice <= 0 || s.Autoscaling.ReclaimablePrice >= 1 {
		return nil
	}
	domains := domainsOf(s, upstreams)
	if len(domains) == 0 {
		return nil
	}
	have := countUpstreams(s.Name, upstreams)
	e := p.estimate(s.Name)
	e.onDemandRatio = onDemandRatio(len(domains))
	e.update(load, s.Engine.Slots, countKind(have, false), countKind(have, true), now)
	reclaimableTotal := 0
	var due []Order
	for i, domain := range domains {
		onDemandKey := groupKey{service: s.Name, failureDomain: domain}
		reclaimableKey := groupKey{service: s.Name, failureDomain: domain, reclaimable: true}
		// On-demand upstreams also make up for missing reclaimable ones.
		onDemand := evenPart(max(e.onDemandRatio*float64(e.required), float64(e.required-countKind(have, true))), i, len(domains))
		onDemand = min(max(onDemand, minOnDemand, s.Autoscaling.Min), s.Autoscaling.Max)
		// Autoscaling.Max bounds both kinds together, so on-demand upstreams that
		// exist or are wanted leave less room for reclaimable ones.
		reclaimable := max(min(evenPart(reclaimableRatio*float64(e.required), 0, len(domains)), s.Autoscaling.Max-max(onDemand, have[onDemandKey])), 0)
		reclaimableTotal += reclaimable
		// Reclaimable upstreams come first, as they may have to make room.
		due = p.appendIfDue(due, reclaimableKey, reclaimable, have[reclaimableKey], e.required, load, s, now)
		if e.isSettled(now) {
			due = p.appendIfDue(due, onDemandKey, onDemand, have[onDemandKey], e.required, load, s, now)
		}
	}
	e.reclaimableTarget = reclaimableTotal
	return due
}

// onDemandRatio returns the number of on-demand upstreams per required upstream with
// a number of failure domains, while there are enough reclaimable ones.
func onDemandRatio(domains int) float64 {
	return max(maxOnDemandRatio-onDemandPerDomain*float64(max(domains-fewDomains, 0)), minOnDemandRatio)
}

// SetReadRate sets the rate, in tokens per second, at which one upstream of a
// service was observed to read prompts. A rate of 0 is unknown and ignored.
func (p *Planner) SetReadRate(service string, rate float64) {
	if rate > 0 {
		p.estimate(service).readRate = rate
	}
}

// estimate returns the capacity estimate of a service, creating it if needed.
func (p *Planner) estimate(service string) *capacityEstimate {
	e := p.estimates[service]
	if e == nil {
		e = &capacityEstimate{readRate: defaultReadRate}
		p.estimates[service] = e
	}
	return e
}

// appendIfDue appends an order for a group if the wanted number has changed, or if
// the last order was refused or has not been fulfilled in time.
func (p *Planner) appendIfDue(due []Order, key groupKey, wanted, have, required int, load Load, service *catalog.Service, now clock.Instant) []Order {
	last, ordered := p.lastOrders[key]
	if now.Before(last.refusedUntil) {
		return due
	}
	if !ordered && wanted == have {
		return due
	}
	if ordered && last.count == wanted {
		if wanted == have || now.Sub(last.orderedAt) < service.Autoscaling.BootTime+bootGrace {
			return due
		}
	}
	p.lastOrders[key] = lastOrder{count: wanted, orderedAt: now}
	return append(due, Order{
		Service: key.service, FailureDomain: key.failureDomain, Reclaimable: key.reclaimable,
		Count: wanted, Have: have, Need: required, Load: load,
	})
}

// Refused notes that an order was refused. It is repeated after refusalBackoff.
func (p *Planner) Refused(o Order, now clock.Instant) {
	key := groupKey{service: o.Service, failureDomain: o.FailureDomain, reclaimable: o.Reclaimable}
	p.lastOrders[key] = lastOrder{count: -1, orderedAt: now, refusedUntil: now.Add(refusalBackoff)}
}
