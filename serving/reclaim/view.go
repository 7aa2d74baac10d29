package reclaim

import (
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

const (
	// listLag is how far the list of instances may be behind.
	listLag = 15 * time.Second
	// startLimit is how long an instance that was started may be missing from
	// the list before it is taken for gone.
	startLimit = 2 * time.Minute
	// forgetGone is how long notices of instances that are not listed are kept.
	forgetGone = 10 * time.Minute
)

// View is what is known of the instances: the list, which is behind, joined
// with the notices and with what was done since. A notice may come before or
// after the list shows its instance, and more than once. A state never goes
// back. View is owned by one thread.
type View struct {
	entries map[string]*entry
	notices map[string]*noted
	// sorted is the list of Instances; nil after a change.
	sorted []fleet.Instance
}

// NewView makes an empty view.
func NewView() *View {
	return &View{entries: make(map[string]*entry), notices: make(map[string]*noted)}
}

// List takes the list of instances as it was read. The wall clock is compared
// with the ends that notices name.
func (v *View) List(list []fleet.Instance, now clock.Instant, wall time.Time) {
	v.sorted = nil
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
		v.take(i, now)
	}
	for id, e := range v.entries {
		if !listed[id] {
			v.missing(id, e, now, wall)
		}
	}
	for id, n := range v.notices {
		if v.entries[id] == nil && now.Sub(n.at) > forgetGone {
			delete(v.notices, id)
		}
	}
}

// Notify takes a notice. It returns false for a duplicate.
func (v *View) Notify(n Notice, now clock.Instant) bool {
	known, ok := v.notices[n.Instance]
	if ok && (n.Ends.IsZero() || (!known.Ends.IsZero() && !n.Ends.Before(known.Ends))) {
		return false
	}
	v.sorted = nil
	v.notices[n.Instance] = &noted{Notice: n, at: now}
	if e := v.entries[n.Instance]; e != nil {
		e.leave(n.Ends)
	}
	return !ok
}

// Start takes an instance that was started and may not be listed yet.
func (v *View) Start(i fleet.Instance, now clock.Instant) {
	if v.entries[i.ID] == nil {
		v.sorted = nil
		v.take(i, now)
	}
}

// Leave marks an instance that is to be ended.
func (v *View) Leave(id string, ends time.Time) {
	if e := v.entries[id]; e != nil && e.leave(ends) {
		v.sorted = nil
	}
}

// End marks an instance that was ended.
func (v *View) End(id string) {
	if e := v.entries[id]; e != nil {
		v.sorted = nil
		e.instance.State = fleet.Gone
	}
}

// Instances lists all instances that are not gone, by ID. The list must not be
// changed; it stays as it is when the view changes.
func (v *View) Instances() []fleet.Instance {
	if v.sorted == nil {
		v.sorted = v.sort()
	}
	return v.sorted
}

func (v *View) sort() []fleet.Instance {
	list := make([]fleet.Instance, 0, len(v.entries))
	for _, e := range v.entries {
		if e.instance.State != fleet.Gone {
			list = append(list, e.instance)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Find returns an instance that is not gone.
func (v *View) Find(id string) (fleet.Instance, bool) {
	e := v.entries[id]
	if e == nil || e.instance.State == fleet.Gone {
		return fleet.Instance{}, false
	}
	return e.instance, true
}

func (v *View) take(i fleet.Instance, now clock.Instant) {
	e := v.entries[i.ID]
	if e == nil {
		e = &entry{instance: i}
		v.entries[i.ID] = e
		if n := v.notices[i.ID]; n != nil {
			e.leave(n.Ends)
		}
	}
	e.seen = now
	e.update(i)
}

// missing takes note that the list lacks an instance. One whose announced end
// has passed is gone; others may not be listed yet.
func (v *View) missing(id string, e *entry, now clock.Instant, wall time.Time) {
	limit := listLag
	switch {
	case e.hasEnded(wall):
		limit = 0
	case e.instance.State == fleet.Starting:
		limit = startLimit
	}
	if now.Sub(e.seen) > limit {
		delete(v.entries, id)
	}
}
