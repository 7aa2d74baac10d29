package roster

import (
	"maps"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// Former returns what is known from before the store's present timeline. If the roster is
// behind, that is in an earlier timeline itself, that is what Restore would keep.
func (r *Roster) Former(isBehind bool) Former {
	f := Former{Leaving: slices.Collect(maps.Keys(r.draining))}
	for _, w := range r.withheld {
		f.Departed = append(f.Departed, IncarnationOf(w.upstream))
	}
	if !isBehind {
		return f
	}
	for _, u := range r.entries {
		if u.Draining {
			f.add(IncarnationOf(u), true)
		}
	}
	for d, departed := range r.departed {
		f.add(d, departed.wasLeaving)
	}
	return f
}

// add adds an upstream. Without a start time an incarnation can't be told from the next one
// under its ID, so it counts as departed.
func (f *Former) add(d Incarnation, wasLeaving bool) {
	if wasLeaving && d.StartedAtMillis != 0 {
		f.Leaving = append(f.Leaving, d)
		return
	}
	f.Departed = append(f.Departed, d)
}

// Hear takes over what another gateway knows from before the store's present timeline. It
// reports whether that has changed which upstreams are usable.
func (r *Roster) Hear(f Former, now clock.Instant) bool {
	hasChanged := false
	for _, d := range f.Leaving {
		hasChanged = r.MarkDraining(d, now) || hasChanged
	}
	for _, d := range f.Departed {
		if !r.hasList {
			r.departed[d] = departure{at: now}
			continue
		}
		if u := r.entries[d.ID]; u != nil && IncarnationOf(u) == d && !u.Draining {
			r.withhold(u, now)
			hasChanged = true
		}
	}
	return hasChanged
}

// setFirst sets an entry of the first list, unless other gateways have told that it had ended.
func (r *Roster) setFirst(u *catalog.Upstream, now clock.Instant) {
	if _, hasDeparted := r.departed[IncarnationOf(u)]; hasDeparted && !u.Draining {
		r.withhold(u, now)
		return
	}
	r.Set(u)
}
