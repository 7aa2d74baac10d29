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
	// ownAtLoad is own when the report came.
	ownAtLoad int
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

func (u *upstream) isSaturated() bool {
	limit := u.replica.MaxConcurrent
	return limit > 0 && u.inProgress() >= limit
}
