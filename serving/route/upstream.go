package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// computeLimit bounds the time that an upstream is predicted to take for the
// prompts that this gateway has sent it, so that further requests wait where
// they can still be ordered.
const computeLimit = 250 * time.Millisecond

// unreservedShare is the part of an upstream's room that jobs which are not
// urgent may fill.
const unreservedShare = 0.8

// upstream is a replica with what is known about it.
type upstream struct {
	replica Replica
	pool    *pool
	// position is its index in its pool.
	position int
	leaving  bool
	// holder is its number in the index of prefix caches.
	holder prefix.Holder
	// incarnation is the first holder number that it had.
	incarnation prefix.Holder
	// cacheSequence is the number of the last cache event.
	cacheSequence uint64

	// own is the number of requests of this gateway in progress at it, and
	// computing the prompt tokens that they still have to compute.
	own       int
	computing int
	history   ownHistory
	// load is the last report, true at loadAt.
	load   Load
	loadAt clock.Instant
	// ownAtLoad is what own was when the report was true.
	ownAtLoad int

	speed  speed
	health health.Record
	// matched is the number of prompt blocks held, found in the lookup of the
	// call matchedIn of Choose.
	matched   int
	matchedIn uint64
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

// judge holds a failed attempt against the upstream if that is at fault.
func (u *upstream) judge(kind FailureKind, now clock.Instant) {
	switch kind {
	case Broken, TimedOut:
		u.pool.health.Failed(&u.health, now)
	case Canceled, Refused:
		u.pool.health.Abandoned(&u.health)
	}
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

// isSaturated reports whether the upstream is to get no job with a number of
// prompt tokens to compute. One that computes nothing takes any prompt.
func (u *upstream) isSaturated(job *Job, uncached int, now clock.Instant) bool {
	if limit := u.limit(job); limit > 0 && u.inProgress() >= limit {
		return true
	}
	return u.computing > 0 && u.computeTime(u.computing+uncached, now) > computeLimit
}

// limit is the number of requests in progress up to which a job may start; 0 is
// limit is the number of requests in progress up to which a job may start; 0 is
// no limit. Calls of plain services are short, and get all of the room.
func (u *upstream) limit(job *Job) int {
	limit := u.replica.MaxConcurrent
	if limit == 0 || job.Model == "" || job.isUrgent() {
		return limit
	}
	return max(int(float64(limit)*unreservedShare), 1)
}

// computeTime predicts how long prompt tokens take to compute.
func (u *upstream) computeTime(tokens int, now clock.Instant) time.Duration {
	ordinary := float64(time.Duration(tokens) * timePerToken)
	return time.Duration(ordinary * u.slowness(now))
}

// slowness is that of the upstream, or of its pool while it is not known.
func (u *upstream) slowness(now clock.Instant) float64 {
	return u.speed.slownessAt(now, u.pool.slowness.or(ordinarySlowness))
}

// ordinaryFirstToken predicts the time to the first token of an upstream of ordinary
// speed in the place of this one.
func (u *upstream) ordinaryFirstToken(uncached int) time.Duration {
	return firstToken(u.inProgress(), u.computing+uncached)
}

// tokenTime is the time between two tokens of an answer.
func (u *upstream) tokenTime() time.Duration {
	return time.Duration(u.speed.tokenMillis.or(ordinaryTokenMillis) * float64(time.Millisecond))
}
