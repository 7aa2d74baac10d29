package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// maxPrefillTime limits the predicted time in which an upstream prefills the
// prompts that this gateway has sent it. Further requests wait in the queue of
// the gateway, where they can still be reordered.
const maxPrefillTime = 250 * time.Millisecond

// maxNonUrgentShare is the share of the MaxConcurrent of an upstream that jobs
// which aren't urgent may fill.
const maxNonUrgentShare = 0.7

// upstream is a replica and the state that the router keeps for it.
type upstream struct {
	replica Replica
	pool    *pool
	// position is its index in the members of the pool.
	position int
	leaving  bool
	// holder is its number in the index of prefix caches. It changes when the
	// cache is cleared.
	holder prefix.Holder
	// incarnation is its first holder number, which never changes.
	incarnation prefix.Holder
	// cacheSequence is the sequence number of the last cache event.
	cacheSequence uint64

	// ownRequests is the number of requests of this gateway in progress at it,
	// and prefillTokens the predicted number of prompt tokens that they still
	// have to prefill.
	ownRequests   int
	prefillTokens int
	history       ownRequestHistory
	// load is the last load report, and loadAt when it was measured.
	load   Load
	loadAt clock.Instant
	// ownRequestsAtLoad is the value of ownRequests at loadAt.
	ownRequestsAtLoad int

	speed  speed
	health health.Record
	// matched is the number of prompt blocks that its cache holds, for the job
	// of the call of Choose numbered matchedInCall.
	matched       int
	matchedInCall uint64
}

func (u *upstream) acceptsRequests() bool {
	return u.replica.State == fleet.Live && !u.leaving
}

// inProgress estimates the requests in progress at the upstream, from all
// gateways: the reported ones, with the share of this gateway at that time
// replaced by its present requests.
func (u *upstream) inProgress() int {
	others := u.load.Running + u.load.Queued - u.ownRequestsAtLoad
	return max(others, 0) + u.ownRequests
}

// start and end record that a request of this gateway starts or ends.
func (u *upstream) start(now clock.Instant) {
	u.ownRequests++
	u.history.add(u.ownRequests, now)
}

func (u *upstream) end(now clock.Instant) {
	u.ownRequests = max(u.ownRequests-1, 0)
	u.history.add(u.ownRequests, now)
}

// recordFailure counts a failed attempt against the upstream if the kind of
// failure is the fault of the upstream.
func (u *upstream) recordFailure(kind FailureKind, now clock.Instant) {
	switch kind {
	case Broken, TimedOut:
		u.pool.health.Failed(&u.health, now)
	case Canceled, Refused:
		u.pool.health.Abandoned(&u.health)
	}
}

func (u *upstream) updateLoad(l Load, now clock.Instant) {
	at := now.Add(-l.Age)
	if at.Before(u.loadAt) {
		return
	}
	u.load = l
	u.loadAt = at
	u.ownRequestsAtLoad = u.history.countAt(at)
}

// isSaturated reports whether the upstream has no capacity for a job with a
// number of uncached prompt tokens. If it has nothing to prefill, it has
// capacity for a prompt of any length.
func (u *upstream) isSaturated(job *Job, uncached int, now clock.Instant) bool {
	if limit := u.limit(job); limit > 0 && u.inProgress() >= limit {
		return true
	}
	return u.prefillTokens > 0 && u.prefillTime(u.prefillTokens+uncached, now) > maxPrefillTime
}

// limit returns the number of requests in progress below which a job may start;
// 0 means no limit. Requests to plain services are short, so they may use all of
// MaxConcurrent.
func (u *upstream) limit(job *Job) int {
	limit := u.replica.MaxConcurrent
	if limit == 0 || job.Model == "" || job.isUrgent() {
		return limit
	}
	return max(int(float64(limit)*maxNonUrgentShare), 1)
}

// prefillTime predicts how long the prefill of prompt tokens takes.
func (u *upstream) prefillTime(tokens int, now clock.Instant) time.Duration {
	baseline := float64(time.Duration(tokens) * baselinePrefillTimePerToken)
	return time.Duration(baseline * u.slowdown(now))
}

// slowdown returns the slowdown of the upstream, or that of its pool if there is
// no recent observation.
func (u *upstream) slowdown(now clock.Instant) float64 {
	return u.speed.slowdownAt(now, u.pool.slowdown.valueOr(baselineSlowdown))
}

// baselineFirstToken predicts the time to the first token of an upstream of
// baseline speed that has the same load as this one.
func (u *upstream) baselineFirstToken(uncached int) time.Duration {
	return baselineFirstTokenTime(u.inProgress(), u.prefillTokens+uncached)
}

// tokenTime returns the time between two tokens of a response.
func (u *upstream) tokenTime() time.Duration {
	return time.Duration(u.speed.tokenMillis.valueOr(baselineTokenMillis) * float64(time.Millisecond))
}
