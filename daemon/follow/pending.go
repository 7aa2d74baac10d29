package follow

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// pending collects the changes that have not been delivered to the owner. A
// newer change of the same thing replaces the older one.
type pending struct {
	configuration  *intent.Configuration
	upserts        map[string]fleet.Instance
	removed        map[string]bool
	membersChanged bool
}

func newPending() *pending {
	return &pending{upserts: make(map[string]fleet.Instance), removed: make(map[string]bool)}
}

func (p *pending) isEmpty() bool {
	return p.configuration == nil && len(p.upserts) == 0 && len(p.removed) == 0 && !p.membersChanged
}

func (p *pending) addFleet(c spread.FleetChanged) {
	for _, i := range c.Upserts {
		delete(p.removed, i.ID)
		p.upserts[i.ID] = i
	}
	for _, id := range c.Removed {
		delete(p.upserts, id)
		p.removed[id] = true
	}
}

func (p *pending) update(node *spread.Node) Update {
	u := Update{Configuration: p.configuration}
	for _, i := range p.upserts {
		u.Upserts = append(u.Upserts, i)
	}
	for id := range p.removed {
		u.Removed = append(u.Removed, id)
	}
	if p.membersChanged {
		u.Members = node.Members()
	}
	return u
}
