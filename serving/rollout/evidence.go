package rollout

// Evidence is what one gateway has counted in a roll-out.
type Evidence struct {
	Service  string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// New and Old are the outcomes with the new version and with the others, by route.
	New map[string]Outcomes `cbor:"3,keyasint,omitempty"`
	Old map[string]Outcomes `cbor:"4,keyasint,omitempty"`
	// OpenOld is the number of requests in progress at upstreams of other versions.
	OpenOld int `cbor:"5,keyasint,omitempty"`
	// To is the new version.
	To string `cbor:"6,keyasint,omitempty"`
}

// Concerns reports whether the evidence is of an order, or of the same order in another
// timeline of the store.
func (e Evidence) Concerns(o Order) bool {
	return o.isSame(e.Service, e.To, e.Revision)
}

// Sum adds up what several gateways have counted in the roll-out of an order.
func Sum(o Order, list []Evidence) Evidence {
	sum := newEvidence(o)
	for _, e := range list {
		if !e.Concerns(o) {
			continue
		}
		addOutcomes(sum.New, e.New)
		addOutcomes(sum.Old, e.Old)
		sum.OpenOld += max(e.OpenOld, 0)
	}
	return sum
}

func newEvidence(o Order) Evidence {
	return Evidence{Service: o.Service, To: o.To, Revision: o.Revision, New: make(map[string]Outcomes), Old: make(map[string]Outcomes)}
}

func addOutcomes(sum, counts map[string]Outcomes) {
	for route, o := range counts {
		total := sum[route]
		total.Add(o)
		sum[route] = total
	}
}

// total returns the outcomes over all routes.
func total(counts map[string]Outcomes) Outcomes {
	var sum Outcomes
	for _, o := range counts {
		sum.Add(o)
	}
	return sum
}

// IsWorse reports whether the new version fails or is slow more often than the others
// beyond chance, over all routes or on one of them.
func (e Evidence) IsWorse() bool {
	if areWorse(total(e.New), total(e.Old)) {
		return true
	}
	for route, o := range e.New {
		if areWorse(o, e.Old[route]) {
			return true
		}
	}
	return false
}
