package rollout

import "maps"

// hashRange is the number of values to which hashes of requests are reduced.
const hashRange = 1 << 16

// Tracker is one gateway's part in the roll-outs of all services. One thread owns it.
type Tracker struct {
	orders map[string]Order
	stages map[string]Stage
	own    map[string]*Evidence
	others []Evidence
	// worse are the orders whose versions were found worse.
	worse map[string]Order
}

// NewTracker returns a Tracker without orders.
func NewTracker() *Tracker {
	return &Tracker{
		orders: make(map[string]Order), stages: make(map[string]Stage), own: make(map[string]*Evidence), worse: make(map[string]Order),
	}
}

// SetOrders replaces the orders in force, by service.
func (t *Tracker) SetOrders(orders map[string]Order) {
	t.orders = maps.Clone(orders)
	for service, e := range t.own {
		if o, ok := orders[service]; !ok || !e.Concerns(o) {
			delete(t.own, service)
		}
	}
	for service, o := range orders {
		if t.isWorse(o) {
			t.worse[service] = o
		}
	}
}

// isWorse reports whether the version of an order was found worse.
func (t *Tracker) isWorse(o Order) bool {
	w, ok := t.worse[o.Service]
	return ok && o.isSame(w.Service, w.To, w.Revision)
}

// SetStage takes over a stage unless a newer one is known.
func (t *Tracker) SetStage(s Stage) {
	if known, ok := t.stages[s.Service]; !ok || s.IsNewer(known) {
		t.stages[s.Service] = s
	}
}

// Stages returns the newest known stages of the orders in force.
func (t *Tracker) Stages() []Stage {
	var list []Stage
	for service, o := range t.orders {
		if s, ok := t.stages[service]; ok && s.Concerns(o) {
			list = append(list, s)
		}
	}
	return list
}

// SetOthers replaces what the other gateways have counted.
func (t *Tracker) SetOthers(list []Evidence) {
	t.others = list
	for service := range t.own {
		t.compare(service)
	}
}

// Filter returns which versions a request uses, by its hash: a request that is sent
// again uses the same. Until the stage of an order is known, the new version gets nothing.
func (t *Tracker) Filter(service string, hash uint64) Filter {
	o, ok := t.orders[service]
	if !ok {
		return Filter{}
	}
	f := Filter{IsActive: true, To: o.To}
	s, ok := t.stages[service]
	if !ok || !s.Concerns(o) {
		return f
	}
	switch {
	case s.State == Completed:
		f.HasCompleted, f.Former = true, s.Former
	case s.State == RolledBack || t.isWorse(o):
	default:
		f.UsesNew = float64(hash%hashRange) < s.Share*hashRange
		f.MayFallBack = true
	}
	return f
}

// Record counts how a request of a service has ended at an upstream of a version.
func (t *Tracker) Record(service, version, route string, outcome Outcome) {
	o, ok := t.orders[service]
	if !ok {
		return
	}
	e := t.evidence(o)
	counts := e.Old
	if version == o.To {
		counts = e.New
	}
	c := counts[route]
	c.Ended++
	if outcome.Failed {
		c.Failed++
	}
	if outcome.IsSlow {
		c.Slow++
	}
	counts[route] = c
	if version == o.To && (outcome.Failed || outcome.IsSlow) {
		t.compare(service)
	}
}

// evidence returns what this gateway has counted for an order.
func (t *Tracker) evidence(o Order) *Evidence {
	e := t.own[o.Service]
	if e == nil || !e.Concerns(o) {
		fresh := newEvidence(o)
		e = &fresh
		t.own[o.Service] = e
	}
	e.Revision = o.Revision
	return e
}

// compare finds out whether the new version of a service is worse. That is final for the
// order, whatever is heard later.
func (t *Tracker) compare(service string) {
	e, o := t.own[service], t.orders[service]
	if e == nil || t.isWorse(o) {
		return
	}
	if Sum(o, append([]Evidence{*e}, t.others...)).IsWorse() {
		t.worse[service] = o
	}
}

// IsStopped reports whether this gateway sends nothing to the new version of a service
// because it is worse.
func (t *Tracker) IsStopped(service string) bool {
	o, ok := t.orders[service]
	return ok && t.isWorse(o)
}

// Evidence returns what this gateway has counted, to be published. openOld returns the
// number of requests in progress at upstreams of a service that are not of a version.
func (t *Tracker) Evidence(openOld func(service, version string) int) []Evidence {
	var list []Evidence
	for service, o := range t.orders {
		e := *t.evidence(o)
		e.New, e.Old = maps.Clone(e.New), maps.Clone(e.Old)
		e.OpenOld = openOld(service, o.To)
		list = append(list, e)
	}
	return list
}
