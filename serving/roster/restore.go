package roster

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

const (
	// withholdTime is how long an entry is withheld at most. By then its writer has written
	// again what the store had lost.
	withholdTime = 10 * time.Second
	// departureLifetime is how long the end of an entry is remembered: longer than a copy
	// from which the store is restored is old.
	departureLifetime = 5 * time.Minute
)

// Restore replaces all entries by the first list of a store that was restored from an older
// copy. What was known of an incarnation is not taken back: one that was leaving stays so,
// and one whose entry had ended is withheld until the store has a change of it. Entries
// that the list lacks lapse, as after an outage: the store was back at since. They do not
// count as ended.
func (r *Roster) Restore(list map[string]*catalog.Upstream, since, now clock.Instant) Restored {
	r.storeRecoveredAt, r.unavailableSince = since, 0
	r.dropDepartures(now)
	r.dropDraining(now)
	r.keepLeaving(now)
	var result Restored
	lapsed := len(r.lapsed)
	r.dropMissing(list, true, now)
	result.Lapsed = max(len(r.lapsed)-lapsed, 0)
	for _, u := range list {
		incarnation := IncarnationOf(u)
		_, isLeaving := r.draining[incarnation]
		_, hasDeparted := r.departed[incarnation]
		switch {
		case u.Draining:
			r.Set(u)
		case isLeaving:
			r.Set(u)
			result.Leaving = append(result.Leaving, incarnation)
		case hasDeparted:
			r.withhold(u, now)
			result.Withheld++
		default:
			r.Set(u)
		}
	}
	return result
}

// keepLeaving remembers which upstreams are leaving by their entries. Without a start time
// an incarnation can't be told from the next one under its ID, so it counts as departed.
func (r *Roster) keepLeaving(now clock.Instant) {
	keep := func(d Incarnation) {
		if d.StartedAtMillis == 0 {
			r.departed[d] = departure{at: now, wasLeaving: true}
			return
		}
		if _, isKnown := r.draining[d]; !isKnown {
			r.draining[d] = now
		}
	}
	for _, u := range r.entries {
		if u.Draining {
			keep(IncarnationOf(u))
		}
	}
	for d, departed := range r.departed {
		if departed.wasLeaving {
			keep(d)
		}
	}
}

// withhold keeps an entry from being used.
func (r *Roster) withhold(u *catalog.Upstream, now clock.Instant) {
	delete(r.entries, u.ID)
	delete(r.lapsed, u.ID)
	r.withheld[u.ID] = withheldEntry{upstream: u, usableAt: now.Add(withholdTime)}
}

// release sets the withheld entries whose time is over.
func (r *Roster) release(now clock.Instant) {
	for _, w := range r.withheld {
		if !now.Before(w.usableAt) {
			r.Set(w.upstream)
		}
	}
}

// isWithheld reports whether an entry is withheld and has not changed since.
func (r *Roster) isWithheld(u *catalog.Upstream) bool {
	w, ok := r.withheld[u.ID]
	return ok && *w.upstream == *u
}

// depart remembers that the entry of an upstream has ended.
func (r *Roster) depart(u *catalog.Upstream, now clock.Instant) {
	r.dropDepartures(now)
	r.departed[IncarnationOf(u)] = departure{at: now, wasLeaving: u.Draining}
}

// dropDepartures forgets those that no copy of the store is old enough to lack.
func (r *Roster) dropDepartures(now clock.Instant) {
	for d, departed := range r.departed {
		if now.Sub(departed.at) >= departureLifetime {
			delete(r.departed, d)
		}
	}
}
