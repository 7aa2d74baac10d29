package quarantine

import (
	"math"
	"sort"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// sameMoment is the time within which crashes count as one.
	sameMoment = 200 * time.Millisecond
	// crashLifetime is how long a crash counts.
	crashLifetime = 10 * time.Minute
)

// crashLog holds when upstreams crashed, by a hash of the upstream and its start.
type crashLog map[uint64]clock.Instant

// add adds a crash. Of several observations of one the earliest counts. It reports
// false if that changes nothing.
func (l crashLog) add(upstream uint64, at clock.Instant) bool {
	if known, ok := l[upstream]; ok && !at.Before(known) {
		return false
	}
	l[upstream] = at
	return true
}

// expire forgets crashes that no longer count.
func (l crashLog) expire(now clock.Instant) {
	for upstream, at := range l {
		if now.Sub(at) >= crashLifetime {
			delete(l, upstream)
		}
	}
}

// forget forgets the crashes up to an instant.
func (l crashLog) forget(until clock.Instant) {
	for upstream, at := range l {
		if !at.After(until) {
			delete(l, upstream)
		}
	}
}

// sorted returns the crashes, the oldest first.
func (l crashLog) sorted() []Crash {
	list := make([]Crash, 0, len(l))
	for upstream, at := range l {
		list = append(list, Crash{Upstream: upstream, At: time.Duration(at)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].At != list[j].At {
			return list[i].At < list[j].At
		}
		return list[i].Upstream < list[j].Upstream
	})
	return list
}

// first returns when the first crash was; the end of time if there is none.
func (l crashLog) first() clock.Instant {
	first := clock.Instant(math.MaxInt64)
	for _, at := range l {
		first = min(first, at)
	}
	return first
}

// moments counts the crashes from an instant on that are not in a set. Crashes within
// sameMoment count once: engines that end together have a common cause outside the
// prompts.
func (l crashLog) moments(from clock.Instant, explained map[uint64]bool) int {
	n := 0
	last := time.Duration(never)
	for _, c := range l.sorted() {
		if explained[c.Upstream] || clock.Instant(c.At).Before(from) || c.At-last < sameMoment {
			continue
		}
		n++
		last = c.At
	}
	return n
}
