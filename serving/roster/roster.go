package roster

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
)

// Roster is the list of upstreams as one process knows it. One thread owns it.
type Roster struct {
	grace   time.Duration
	entries map[string]*catalog.Upstream
	// lapsed are upstreams without an entry that stay until an instant.
	lapsed map[string]lapse
	// isAway is set while the store does not answer.
	isAway bool
	// since is when the store last came back; 0 if it never was away.
	since clock.Instant
}

// New makes an empty roster. Grace is the time after the return of the store in
// which entries of live upstreams come back.
func New(grace time.Duration) *Roster {
	return &Roster{
		grace:   grace,
		entries: make(map[string]*catalog.Upstream),
		lapsed:  make(map[string]lapse),
	}
}

// Away notes that the store does not answer.
func (r *Roster) Away() {
	r.isAway = true
}

// Back notes that the store answers.
func (r *Roster) Back(now clock.Instant) {
	if r.isAway {
		r.isAway = false
		r.since = now
	}
}

// Reset takes a whole list.
func (r *Roster) Reset(list map[string]*catalog.Upstream, now clock.Instant) {
	for id := range r.entries {
		if list[id] == nil {
			r.Remove(id, now)
		}
	}
	for _, u := range list {
		r.Set(u)
	}
}

// Set takes one entry.
func (r *Roster) Set(u *catalog.Upstream) {
	delete(r.lapsed, u.ID)
	r.entries[u.ID] = u
}

// Remove takes the removal of an entry.
func (r *Roster) Remove(id string, now clock.Instant) {
	u := r.entries[id]
	delete(r.entries, id)
	if u == nil || u.Draining || r.since == 0 {
		return
	}
	if until := r.since.Add(r.grace); now.Before(until) {
		r.lapsed[id] = lapse{upstream: u, until: until}
	}
}

// Usable returns the upstreams that may get requests.
func (r *Roster) Usable(now clock.Instant) []*catalog.Upstream {
	list := make([]*catalog.Upstream, 0, len(r.entries))
	for _, u := range r.entries {
		if !u.Draining {
			list = append(list, u)
		}
	}
	for id, l := range r.lapsed {
		if !now.Before(l.until) {
			delete(r.lapsed, id)
			continue
		}
		list = append(list, l.upstream)
	}
	return list
}

// List returns all entries, those that leave included.
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

// Entries returns all entries, those that leave included.
func (r *Roster) Entries() map[string]*catalog.Upstream {
	return r.entries
}

// NextChange is when Usable changes by itself; false if it does not.
func (r *Roster) NextChange() (clock.Instant, bool) {
	var next clock.Instant
	for _, l := range r.lapsed {
		if next == 0 || l.until.Before(next) {
			next = l.until
		}
	}
	return next, next != 0
}
