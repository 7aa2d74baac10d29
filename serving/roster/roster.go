package roster

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// drainingLifetime is how long it is kept at least that an upstream has said that it
// is leaving.
const drainingLifetime = 5 * time.Minute

// Roster is the list of upstreams that one process knows. One thread owns it.
type Roster struct {
	grace   time.Duration
	entries map[string]*catalog.Upstream
	// hasList is set once a list has been read.
	hasList bool
	// lapsed are the upstreams that lost their entries in the grace period.
	lapsed map[string]lapsedEntry
	// withheld are the upstreams whose entries are not believed for a time.
	withheld map[string]withheldEntry
	// draining holds the upstreams that have said in an answer that they are leaving, and
	// those whose entries had said so before the store was restored from an older copy.
	draining map[Incarnation]clock.Instant
	// departed are the upstreams whose entries have ended.
	departed map[Incarnation]departure
	// minOutage is the shortest outage of the store in which entries can expire.
	minOutage time.Duration
	// unavailableSince is from when on the store has not answered; 0 while it does.
	unavailableSince clock.Instant
	// storeRecoveredAt is when the store last became available again after an outage in
	// which entries can have expired; 0 if there was none.
	storeRecoveredAt clock.Instant
}

// New returns an empty roster. The grace period starts when the store becomes
// available again, and must be long enough for live upstreams to write their
// entries anew.
func New(grace time.Duration) *Roster {
	return &Roster{
		grace:   grace,
		entries: make(map[string]*catalog.Upstream),
		lapsed:  make(map[string]lapsedEntry),

		withheld: make(map[string]withheldEntry),
		draining: make(map[Incarnation]clock.Instant),
		departed: make(map[Incarnation]departure),
	}
}

// SetMinOutage sets the shortest outage of the store in which entries can expire.
func (r *Roster) SetMinOutage(d time.Duration) {
	r.minOutage = d
}

// StoreUnavailable records that a call to the store, made at an instant, has failed.
func (r *Roster) StoreUnavailable(since clock.Instant) {
	if r.unavailableSince == 0 {
		r.unavailableSince = since
	}
}

// StoreAvailable records that the store answers. It starts the grace period if the
// store was unavailable for so long that entries can have expired meanwhile. A shorter
// time may have been that of one connection: a removal in it is real.
func (r *Roster) StoreAvailable(now clock.Instant) {
	if r.unavailableSince == 0 {
		return
	}
	if now.Sub(r.unavailableSince) >= r.minOutage {
		r.storeRecoveredAt = now
	}
	r.unavailableSince = 0
}

// Replace replaces all entries by list. Entries that are not in it count as
// removed.
func (r *Roster) Replace(list map[string]*catalog.Upstream, now clock.Instant) {
	r.dropMissing(list, false, now)
	isFirst := !r.hasList
	r.hasList = true
	for _, u := range list {
		switch {
		case isFirst:
			r.setFirst(u, now)
		case !r.isWithheld(u):
			r.Set(u)
		}
	}
}

// dropMissing drops the entries that a list lacks. isLost says that it is that of a copy which
// may have lost them, and not that they were removed.
func (r *Roster) dropMissing(list map[string]*catalog.Upstream, isLost bool, now clock.Instant) {
	for id := range r.entries {
		if list[id] == nil {
			r.lapse(id, isLost, now)
		}
	}
	for id := range r.withheld {
		if list[id] == nil {
			delete(r.withheld, id)
		}
	}
}

// Set adds or replaces one entry. One that still calls an upstream ready which has
// said that it is leaving does not bring it back.
func (r *Roster) Set(u *catalog.Upstream) {
	delete(r.lapsed, u.ID)
	delete(r.withheld, u.ID)
	delete(r.departed, IncarnationOf(u))
	r.entries[u.ID] = r.withDraining(u)
}

// MarkDraining records that an upstream has said in an answer, to this gateway or another
// one, that it is leaving. It returns false if that was known.
func (r *Roster) MarkDraining(d Incarnation, now clock.Instant) bool {
	if _, ok := r.draining[d]; ok {
		return false
	}
	r.dropDraining(now)
	r.draining[d] = now
	if u := r.entries[d.ID]; u != nil {
		r.entries[d.ID] = r.withDraining(u)
	}
	if l, ok := r.lapsed[d.ID]; ok && IncarnationOf(l.upstream) == d {
		delete(r.lapsed, d.ID)
	}
	return true
}

// DrainingCount returns the number of upstreams that are known to leave by their answers.
func (r *Roster) DrainingCount() int {
	return len(r.draining)
}

// withDraining returns an upstream as draining if it has said that it is leaving.
func (r *Roster) withDraining(u *catalog.Upstream) *catalog.Upstream {
	if _, ok := r.draining[IncarnationOf(u)]; !ok || u.Draining {
		return u
	}
	leaving := *u
	leaving.Draining = true
	return &leaving
}

// dropDraining forgets those of upstreams that have had no entry for long enough
// that no old one is read any more.
func (r *Roster) dropDraining(now clock.Instant) {
	for d, at := range r.draining {
		u := r.entries[d.ID]
		if now.Sub(at) >= drainingLifetime && (u == nil || IncarnationOf(u) != d) {
			delete(r.draining, d)
		}
	}
}

// Remove removes an entry. In the grace period the upstream stays usable until
// the period ends, unless it was leaving.
func (r *Roster) Remove(id string, now clock.Instant) {
	// A removal of what a copy has lost is real.
	if l, ok := r.lapsed[id]; ok {
		l.isLost = false
		r.lapsed[id] = l
	}
	r.lapse(id, false, now)
}

// lapse takes an entry out of the list, and keeps its upstream usable for the rest of the grace
// period unless it was leaving. isLost says that a copy has lost it, and not that it was removed.
func (r *Roster) lapse(id string, isLost bool, now clock.Instant) {
	u := r.entries[id]
	delete(r.entries, id)
	delete(r.withheld, id)
	if u == nil {
		return
	}
	l := lapsedEntry{upstream: u, expiresAt: r.storeRecoveredAt.Add(r.grace), isLost: isLost}
	if u.Draining || r.storeRecoveredAt == 0 || !now.Before(l.expiresAt) {
		r.expire(l, now)
		return
	}
	r.lapsed[id] = l
}

// expire ends the use of an upstream without an entry.
func (r *Roster) expire(l lapsedEntry, now clock.Instant) {
	delete(r.lapsed, l.upstream.ID)
	// An entry that a copy lacks may have been written after the copy was made, and may come
	// back with the next one: that it has not been written again in time is no end.
	if !l.isLost || l.upstream.Draining {
		r.depart(l.upstream, now)
	}
}

// Usable returns the upstreams that may receive requests: those with an entry
// that are not leaving, and lapsed ones.
func (r *Roster) Usable(now clock.Instant) []*catalog.Upstream {
	r.release(now)
	list := make([]*catalog.Upstream, 0, len(r.entries))
	for _, u := range r.entries {
		if !u.Draining {
			list = append(list, u)
		}
	}
	for _, l := range r.lapsed {
		if !now.Before(l.expiresAt) {
			r.expire(l, now)
			continue
		}
		list = append(list, l.upstream)
	}
	return list
}

// List returns all entries, leaving upstreams included.
func (r *Roster) List() []*catalog.Upstream {
	list := make([]*catalog.Upstream, 0, len(r.entries))
	for _, u := range r.entries {
		list = append(list, u)
	}
	return list
}

// Len returns the number of entries.
func (r *Roster) Len() int {
	return len(r.entries)
}

// Entries returns all entries by ID, leaving upstreams included. The map is the
// roster's own and must not be modified.
func (r *Roster) Entries() map[string]*catalog.Upstream {
	return r.entries
}

// NextExpiry returns when the next lapsed upstream becomes unusable or the next withheld
// one usable; false if there is none.
func (r *Roster) NextExpiry() (clock.Instant, bool) {
	var next clock.Instant
	for _, l := range r.lapsed {
		if next == 0 || l.expiresAt.Before(next) {
			next = l.expiresAt
		}
	}
	for _, w := range r.withheld {
		if next == 0 || w.usableAt.Before(next) {
			next = w.usableAt
		}
	}
	return next, next != 0
}
