package reclaim

import (
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

const (
	// listLag is how far the list of instances may lag behind.
	listLag = 15 * time.Second
	// startTimeout is how long a started instance may be missing from the list
	// before it is dropped.
	startTimeout = 2 * time.Minute
	// noticeRetention is how long a notice for an unknown instance is kept.
	noticeRetention = 10 * time.Minute
)

// View is the current knowledge of the instances: the list, which lags behind,
// combined with the notices and the starts and ends since. A notice may come
// before or after the list shows its instance, and more than once. A state never
// goes back. View is used by one thread.
type View struct {
	entries map[string]*entry
	notices map[string]*receivedNotice
	// sorted caches the result of Instances; nil after a change.
	sorted []fleet.Instance
}

// NewView makes an empty view.
func NewView() *View {
	return &View{entries: make(map[string]*entry), notices: make(map[string]*receivedNotice)}
}

// Update applies the list of instances as it was read at now. wall is the
// wall-clock time, which is compared with the ends of instances.
func (v *View) Update(list []fleet.Instance, now clock.Instant, wall time.Time) {
	v.sorted = nil
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
		v.add(i, now)
	}
	for id, e := range v.entries {
		if !listed[id] {
			v.dropIfExpired(id, e, now, wall)
		}
	}
	for id, n := range v.notices {
		if v.entries[id] == nil && now.Sub(n.receivedAt) > noticeRetention {
			delete(v.notices, id)
		}
	}
}

// AddNotice applies a notice and reports whether it is the first for its instance.
// A later one takes effect only if it names an end that is earlier or was unknown.
func (v *View) AddNotice(n Notice, now clock.Instant) bool {
	known, ok := v.notices[n.Instance]
	if ok && (n.Ends.IsZero() || (!known.Ends.IsZero() && !n.Ends.Before(known.Ends))) {
		return false
	}
	v.sorted = nil
	v.notices[n.Instance] = &receivedNotice{Notice: n, receivedAt: now}
	if e := v.entries[n.Instance]; e != nil {
		e.markLeaving(n.Ends)
	}
	return !ok
}

// AddStarted adds an instance that was started and may not be listed yet.
func (v *View) AddStarted(i fleet.Instance, now clock.Instant) {
	if v.entries[i.ID] == nil {
		v.sorted = nil
		v.add(i, now)
	}
}

// MarkLeaving marks an instance as leaving, to end at the given wall-clock time.
func (v *View) MarkLeaving(id string, ends time.Time) {
	if e := v.entries[id]; e != nil && e.markLeaving(ends) {
		v.sorted = nil
	}
}

// MarkEnded marks an instance as gone.
func (v *View) MarkEnded(id string) {
	if e := v.entries[id]; e != nil {
		v.sorted = nil
		e.instance.State = fleet.Gone
	}
}

// Instances returns all instances that are not gone, ordered by ID. The caller
// must not change the slice; later changes of the view don't affect it.
func (v *View) Instances() []fleet.Instance {
	if v.sorted == nil {
		v.sorted = v.sortedInstances()
	}
	return v.sorted
}

func (v *View) sortedInstances() []fleet.Instance {
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

func (v *View) add(i fleet.Instance, now clock.Instant) {
	e := v.entries[i.ID]
	if e == nil {
		e = &entry{instance: i}
		v.entries[i.ID] = e
		if n := v.notices[i.ID]; n != nil {
			e.markLeaving(n.Ends)
		}
	}
	e.seenAt = now
	e.update(i)
}

// dropIfExpired drops an instance that the list no longer shows. If its end has
// passed it is dropped at once. Otherwise the list may lag behind, so it is kept
// for a while.
func (v *View) dropIfExpired(id string, e *entry, now clock.Instant, wall time.Time) {
	limit := listLag
	switch {
	case e.hasEnded(wall):
		limit = 0
	case e.instance.State == fleet.Starting:
		limit = startTimeout
	}
	if now.Sub(e.seenAt) > limit {
		delete(v.entries, id)
	}
}
