package reclaim

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// entry is one instance of a view.
type entry struct {
	instance fleet.Instance
	seenAt   clock.Instant // when it was last listed or started
}

// stateOrder is the order in which an instance passes through the states.
var stateOrder = map[fleet.State]int{fleet.Starting: 1, fleet.Live: 2, fleet.Leaving: 3, fleet.Gone: 4}

// update applies an instance as listed. The list may lag behind, so a state never
// goes back and the earliest known end is kept.
func (e *entry) update(i fleet.Instance) {
	if stateOrder[i.State] < stateOrder[e.instance.State] {
		i.State = e.instance.State
	}
	i.Ends = earliest(e.instance.Ends, i.Ends)
	e.instance = i
}

// markLeaving marks the instance as leaving and reports whether that changed it.
func (e *entry) markLeaving(ends time.Time) bool {
	before := e.instance
	if stateOrder[e.instance.State] < stateOrder[fleet.Leaving] {
		e.instance.State = fleet.Leaving
	}
	e.instance.Ends = earliest(e.instance.Ends, ends)
	return e.instance != before
}

// hasEnded reports whether the instance is leaving and its known end has passed.
func (e *entry) hasEnded(wall time.Time) bool {
	return e.instance.State == fleet.Leaving && !e.instance.Ends.IsZero() && wall.After(e.instance.Ends)
}

// earliest returns the earlier of two times. A zero time is unknown.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
