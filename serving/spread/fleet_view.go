package spread

import (
	"slices"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// keptDeltas is the number of changes that a view keeps for peers behind it.
const keptDeltas = 64

// fleetView is a view of the fleet with its last changes.
type fleetView struct {
	position  Position
	instances map[string]fleet.Instance
	deltas    []*FleetDelta
}

func newFleetView() *fleetView {
	return &fleetView{instances: make(map[string]fleet.Instance)}
}

// publish makes a change under a lease with the given fencing number. It
// returns nil when there is nothing to change.
func (v *fleetView) publish(epoch uint64, upserts []fleet.Instance, removed []string) (*FleetDelta, error) {
	if epoch < v.position.Epoch {
		return nil, &StaleEpochError{Epoch: epoch, Newest: v.position.Epoch}
	}
	d := &FleetDelta{Base: v.position, Position: Position{Epoch: epoch, Sequence: 1}}
	for _, i := range upserts {
		if old, ok := v.instances[i.ID]; !ok || !isSame(&old, &i) {
			d.Upserts = append(d.Upserts, i)
		}
	}
	for _, id := range removed {
		if _, ok := v.instances[id]; ok {
			d.Removed = append(d.Removed, id)
		}
	}
	if epoch == v.position.Epoch {
		if len(d.Upserts)+len(d.Removed) == 0 {
			return nil, nil
		}
		d.Position.Sequence = v.position.Sequence + 1
	}
	v.apply(d)
	return d, nil
}

func isSame(a, b *fleet.Instance) bool {
	x, y := *a, *b
	x.Ends = y.Ends
	return x == y && a.Ends.Equal(b.Ends)
}

// apply takes a change that belongs to the position of the view. It returns
// false for any other.
func (v *fleetView) apply(d *FleetDelta) bool {
	if d.Base != v.position || !v.position.Before(d.Position) {
		return false
	}
	for _, i := range d.Upserts {
		v.instances[i.ID] = i
	}
	for _, id := range d.Removed {
		delete(v.instances, id)
	}
	v.position = d.Position
	v.deltas = append(v.deltas, d)
	if len(v.deltas) > keptDeltas {
		v.deltas = slices.Delete(v.deltas, 0, 1)
	}
	return true
}

// replace takes a newer view and returns what differs; nil for an older one.
func (v *fleetView) replace(s *FleetSnapshot) *FleetChanged {
	if !v.position.Before(s.Position) {
		return nil
	}
	changed := &FleetChanged{}
	next := make(map[string]fleet.Instance, len(s.Instances))
	for _, i := range s.Instances {
		next[i.ID] = i
		if old, ok := v.instances[i.ID]; !ok || !isSame(&old, &i) {
			changed.Upserts = append(changed.Upserts, i)
		}
	}
	for id := range v.instances {
		if _, ok := next[id]; !ok {
			changed.Removed = append(changed.Removed, id)
		}
	}
	v.position = s.Position
	v.instances = next
	v.deltas = nil
	return changed
}

// since returns the messages that bring a view at a position up to date.
func (v *fleetView) since(p Position) []Message {
	if !p.Before(v.position) {
		return nil
	}
	for i, d := range v.deltas {
		if d.Base == p {
			var out []Message
			for _, later := range v.deltas[i:] {
				out = append(out, later)
			}
			return out
		}
	}
	s := &FleetSnapshot{Position: v.position}
	for _, i := range v.instances {
		s.Instances = append(s.Instances, i)
	}
	return []Message{s}
}
