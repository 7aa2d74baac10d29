package spread

import (
	"slices"

	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// maxDeltas is the number of past changes that a view keeps. A peer that is
// further behind gets a snapshot.
const maxDeltas = 64

// fleetView is the view of the fleet that a node holds.
type fleetView struct {
	position  FleetPosition
	instances map[string]fleet.Instance
	// deltas are the latest changes, oldest first, without gaps.
	deltas []*FleetDelta
}

func newFleetView() *fleetView {
	return &fleetView{instances: make(map[string]fleet.Instance)}
}

// publish applies a change made under the lease with the given fencing number
// and returns it without what was the same already. Within an epoch it returns
// nil if nothing is left; the first change of an epoch is never nil.
func (v *fleetView) publish(epoch uint64, upserts []fleet.Instance, removed []string) (*FleetDelta, error) {
	if epoch < v.position.Epoch {
		return nil, &StaleEpochError{Epoch: epoch, Newest: v.position.Epoch}
	}
	d := &FleetDelta{Base: v.position, Position: FleetPosition{Epoch: epoch, Sequence: 1}}
	for _, i := range upserts {
		if old, ok := v.instances[i.ID]; !ok || !sameInstance(&old, &i) {
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

// sameInstance compares Ends by time.Time.Equal, which == on the structs does
// not.
func sameInstance(a, b *fleet.Instance) bool {
	x, y := *a, *b
	x.Ends = y.Ends
	return x == y && a.Ends.Equal(b.Ends)
}

// apply applies a change whose base is the position of the view. It returns
// false if the base is another one.
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
	if len(v.deltas) > maxDeltas {
		v.deltas = slices.Delete(v.deltas, 0, 1)
	}
	return true
}

// replace replaces the view by a newer snapshot and returns the differences. It
// returns nil if the snapshot is not newer.
func (v *fleetView) replace(s *FleetSnapshot) *FleetChanged {
	if !v.position.Before(s.Position) {
		return nil
	}
	changed := &FleetChanged{}
	next := make(map[string]fleet.Instance, len(s.Instances))
	for _, i := range s.Instances {
		next[i.ID] = i
		if old, ok := v.instances[i.ID]; !ok || !sameInstance(&old, &i) {
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

// updatesSince returns the messages that bring a view at position p up to date:
// deltas as far as they are kept, or else a snapshot.
func (v *fleetView) updatesSince(p FleetPosition) []Message {
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
