package reclaim

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// entry is one instance and when it was last listed or started.
type entry struct {
	instance fleet.Instance
	seen     clock.Instant
}

// rank orders the states.
var rank = map[fleet.State]int{fleet.Starting: 1, fleet.Live: 2, fleet.Leaving: 3, fleet.Gone: 4}

// update takes an instance as listed. The list may be behind, so a state never
// goes back and the earliest end holds.
func (e *entry) update(i fleet.Instance) {
	if rank[i.State] < rank[e.instance.State] {
		i.State = e.instance.State
	}
	i.Ends = earliest(e.instance.Ends, i.Ends)
	e.instance = i
}

// leave marks the instance as leaving and returns whether that is news.
func (e *entry) leave(ends time.Time) bool {
	before := e.instance
	if rank[e.instance.State] < rank[fleet.Leaving] {
		e.instance.State = fleet.Leaving
	}
	e.instance.Ends = earliest(e.instance.Ends, ends)
	return e.instance != before
}

// hasEnded reports whether a notice named an end that has passed.
func (e *entry) hasEnded(wall time.Time) bool {
	return e.instance.State == fleet.Leaving && !e.instance.Ends.IsZero() && wall.After(e.instance.Ends)
}

// earliest returns the earlier of two times, of which zero means unknown.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
