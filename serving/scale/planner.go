package scale

import (
	"math"
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// workShare is the share of its slots, or of its time to read prompts, that an
	// upstream is planned to use where there are many.
	workShare = 0.62
	// spread is the number of upstreams added for the square root of the work:
	// with few of them chance loads some much more than others.
	spread = 1.2
	// readTokensPerSecond is the number of prompt tokens that an upstream reads.
	readTokensPerSecond = 50_000
	// onDemandShare is the number of on-demand upstreams for each that the load
	// needs.
	onDemandShare = 0.75
	// leastOnDemand is the least number of them in each failure domain.
	leastOnDemand = 1
	// spareShare is the number of reclaimable upstreams for each that the load
	// needs.
	spareShare = 1.2
	// shortShare is the part of the reclaimable upstreams wanted under which they
	// are short, and nothing is given up.
	shortShare = 0.75
	// growth bounds how many more than there are may be needed.
	growth = 3
	// settleTime is how long the number of upstreams must have stayed the same at
	// the start until all are taken to have registered.
	settleTime = 3 * time.Second
	// learnTime is how long nothing is given up after the first load, which is an
	// average that has only begun, or is that of gateways which may have just
	// started.
	learnTime = 8 * time.Second
	// firstShare is the share of the upstreams that are there at the start which is
	// taken to be needed until the load is known.
	firstShare = 0.55
	// lullTime is how long a need must have fallen before less is ordered.
	lullTime = 3 * time.Second
	// stepTime is the time between two steps down.
	stepTime = 500 * time.Millisecond
	// stepDown is the size of a step, and stepShare its share of a large need.
	stepDown  = 1
	stepShare = 0.06
	// orderSlack is how long after their boot ordered upstreams may be missing
	// before they are ordered again.
	orderSlack = 3 * time.Second
	// refusalWait is the wait after an order that was refused.
	refusalWait = 2 * time.Second
)

// Planner plans the upstreams of all services. One thread owns it.
type Planner struct {
	orders map[subject]standing
	trends map[string]trend
}

// NewPlanner makes a planner that knows of no order.
func NewPlanner() *Planner {
	return &Planner{orders: make(map[subject]standing), trends: make(map[string]trend)}
}

// Plan returns the orders that are due for a service.
func (p *Planner) Plan(s *catalog.Service, upstreams []*catalog.Upstream, load Load, now clock.Instant) []Order {
	if s.Scale == nil || s.Engine == nil || s.Scale.ReclaimablePrice <= 0 || s.Scale.ReclaimablePrice >= 1 {
		return nil
	}
	domains := domainsOf(s, upstreams)
	if len(domains) == 0 {
		return nil
	}
	have := count(s.Name, upstreams)
	need := p.need(s, have, load, now)
	spares := 0
	var due []Order
	for i, domain := range domains {
		plain := subject{service: s.Name, failureDomain: domain}
		reclaimable := subject{service: s.Name, failureDomain: domain, reclaimable: true}
		keep := part(max(onDemandShare*float64(need), float64(need-sum(have, true))), i, len(domains))
		keep = min(max(keep, leastOnDemand, s.Scale.Min), s.Scale.Max)
		// Both kinds share the bound, so that room for one kind is what there is
		// of the other, or will be.
		spare := max(min(part(spareShare*float64(need), 0, len(domains)), s.Scale.Max-max(keep, have[plain])), 0)
		spares += spare
		if p.isSettled(s.Name, now) {
			due = p.consider(due, plain, keep, have[plain], need, load, s, now)
		}
		due = p.consider(due, reclaimable, spare, have[reclaimable], need, load, s, now)
	}
	p.wantSpare(s.Name, spares)
	return due
}

// wantSpare notes how many reclaimable upstreams a service should have.
func (p *Planner) wantSpare(service string, count int) {
	t := p.trends[service]
	t.spare = count
	p.trends[service] = t
}

// part divides a number evenly; the first parts get what is left over.
func part(total float64, i, parts int) int {
	return max((int(math.Ceil(total))-i+parts-1)/parts, 0)
}

// isSettled reports whether it is known what there was at the start, or what the
// load is.
func (p *Planner) isSettled(service string, now clock.Instant) bool {
	t := p.trends[service]
	return t.isLoaded || (t.first > 0 && now.Sub(t.since) >= settleTime)
}

// need is the number of upstreams that carry the load, and it falls by steps.
func (p *Planner) need(s *catalog.Service, have map[subject]int, load Load, now clock.Instant) int {
	t := p.trends[s.Name]
	defer func() { p.trends[s.Name] = t }()
	there := sum(have, false) + sum(have, true)
	if load == (Load{}) && !t.isLoaded {
		t.await(sum(have, false), now)
		return t.need
	}
	if !t.isLoaded {
		t.begin(sum(have, false), now)
	}
	need := carry(max(load.Open/float64(max(s.Engine.Slots, 1)), load.Reading/readTokensPerSecond))
	// An overload looks like more than it is: requests are read again.
	need = min(need, max(t.need, there+growth))
	switch {
	case need >= t.need:
		t.need, t.at = need, now
	case float64(sum(have, true)) < shortShare*float64(t.spare):
		// What is on demand may have to carry all of the load.
		t.at = now
	case now.Sub(t.at) >= lullTime:
		t.need, t.at = max(need, t.need-max(stepDown, int(stepShare*float64(t.need)))), now.Add(stepTime-lullTime)
	}
	return t.need
}

// carry is the number of upstreams for the work that would keep so many busy all
// the time.
func carry(work float64) int {
	return int(math.Ceil(max(work/workShare+spread*math.Sqrt(work), 1)))
}

// sum counts the upstreams of one kind.
func sum(have map[subject]int, reclaimable bool) int {
	n := 0
	for s, count := range have {
		if s.reclaimable == reclaimable {
			n += count
		}
	}
	return n
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
		if wanted == have || now.Sub(last.at) < service.Scale.Boot+orderSlack {
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

// domainsOf returns the failure domains of a service, the cheapest first.
func domainsOf(s *catalog.Service, upstreams []*catalog.Upstream) []string {
	seen := make(map[string]bool)
	for domain := range s.Scale.Prices {
		seen[domain] = true
	}
	for _, u := range upstreams {
		if u.Service == s.Name {
			seen[u.FailureDomain] = true
		}
	}
	list := make([]string, 0, len(seen))
	for domain := range seen {
		list = append(list, domain)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := s.Scale.Prices[list[i]], s.Scale.Prices[list[j]]
		if a != b {
			return a < b
		}
		return list[i] < list[j]
	})
	return list
}

// count counts the upstreams of a service that stay.
func count(service string, upstreams []*catalog.Upstream) map[subject]int {
	have := make(map[subject]int)
	for _, u := range upstreams {
		if u.Service == service && !u.Leaving {
			have[subject{service: service, failureDomain: u.FailureDomain, reclaimable: u.Reclaimable}]++
		}
	}
	return have
}
