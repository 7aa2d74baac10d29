package entry

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// timelineAge tells for how long the present timeline of the store has been known.
type timelineAge struct {
	timeline uint64
	since    clock.Instant
	// isFirst is set if no former timeline was known: it may have begun long before.
	isFirst bool
}

// observe notes the timeline at an instant. The first one counts from then as well. It
// reports whether the store was restored since the last one.
func (a *timelineAge) observe(timeline uint64, now clock.Instant) bool {
	if timeline <= a.timeline {
		return false
	}
	a.isFirst = a.timeline == 0
	a.timeline, a.since = timeline, now
	return !a.isFirst
}

// isBelow reports whether the timeline has been known for less than a time.
func (a *timelineAge) isBelow(d time.Duration, now clock.Instant) bool {
	return a.timeline > 0 && now.Sub(a.since) < d
}
