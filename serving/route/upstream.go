package route

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// upstream is a replica with what is known about it.
type upstream struct {
	replica Replica
	// position is its index in its pool.
	position int
	leaving  bool
	// own is the number of requests of this gateway in progress at it.
	own int
	// load is the last report, true at loadAt.
	load   Load
	loadAt clock.Instant
	// ownAtLoad is what own was when the report was true.
	ownAtLoad int
	history   ownHistory
}

func (u *upstream) takesWork() bool {
	return u.replica.State == fleet.Live && !u.leaving
}

// inProgress estimates the requests in progress at the upstream: what was
// reported, with this gateway's part of it replaced by its present part.
func (u *upstream) inProgress() int {
	others := u.load.Running + u.load.Queued - u.ownAtLoad
	return max(others, 0) + u.own
}

// start and end note that a request of this gateway starts or ends.
func (u *upstream) start(now clock.Instant) {
	u.own++
	u.history.add(u.own, now)
}

func (u *upstream) end(now clock.Instant) {
	u.own = max(u.own-1, 0)
	u.history.add(u.own, now)
}

func (u *upstream) report(l Load, now clock.Instant) {
	at := now.Add(-l.Age)
	if at.Before(u.loadAt) {
		return
	}
	u.load = l
	u.loadAt = at
	u.ownAtLoad = u.history.countAt(at)
}

func (u *upstream) isSaturated() bool {
	limit := u.replica.MaxConcurrent
	return limit > 0 && u.inProgress() >= limit
}
