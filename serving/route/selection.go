package route

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// slackPart is the part of the latency target within which the prediction has
// to lie for the cheapest replica to be taken.
const slackPart = 0.3

// waitTokens is the least number of prompt tokens to be saved for which a job
// waits for a saturated replica.
const waitTokens = 256

// lateMargin is kept before the deadline by a job that waits past its target.
const lateMargin = time.Second

// selection is the best candidate so far of one call of Choose.
type selection struct {
	policy Policy
	job    *Job
	rand   *rand.Rand
	now    clock.Instant
	call   uint64
	best   candidate
	// saturated is the candidate without room that has the fewest prompt tokens
	// to compute.
	saturated candidate
	// live and tried count the upstreams that take work, and those of them that
	// the job has tried.
	live, tried int
}

// consider takes an upstream into account.
func (s *selection) consider(u *upstream) {
	if !u.takesWork() || u.replica.Model != s.job.Model {
		return
	}
	s.live++
	if s.job.avoids(u.replica.ID) {
		s.tried++
		return
	}
	if !s.isHealthy(u) {
		return
	}
	c := s.candidate(u)
	if u.isSaturated(s.job, c.uncached, s.now) {
		if s.saturated.upstream == nil || c.uncached < s.saturated.uncached {
			s.saturated = c
		}
		return
	}
	if s.best.upstream == nil || s.isBetter(&c, &s.best) {
		s.best = c
	}
}

// isHealthy draws whether an upstream that returns from an ejection takes part
// in this choice. An ejected one does not.
func (s *selection) isHealthy(u *upstream) bool {
	weight := u.pool.health.Weight(&u.health, s.now)
	return weight >= 1 || weight > 0 && s.rand.Float64() < weight
}

func (s *selection) candidate(u *upstream) candidate {
	c := candidate{upstream: u, uncached: s.job.PromptTokens}
	if u.matchedIn == s.call {
		c.cached = min(u.matched*prefix.BlockTokens, s.job.PromptTokens)
		c.uncached -= c.cached
	}
	c.ordinary = u.ordinaryFirstToken(c.uncached)
	c.predicted = time.Duration(float64(c.ordinary) * u.slowness(s.now))
	c.cost = float64(u.computeTime(c.uncached, s.now)) * float64(max(u.replica.MicrosPerHour, 1))
	return c
}

func (s *selection) isBetter(a, b *candidate) bool {
	switch s.policy {
	case RoundRobin:
		return false
	case LeastRequests:
		return a.upstream.inProgress() < b.upstream.inProgress()
	case Slack:
		return s.isBetterBySlack(a, b)
	default:
		return a.predicted < b.predicted
	}
}

func (s *selection) isBetterBySlack(a, b *candidate) bool {
	limit := time.Duration(float64(s.job.LatencyTarget) * slackPart)
	aMeets, bMeets := a.predicted <= limit, b.predicted <= limit
	if aMeets && bMeets && a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.predicted < b.predicted
}

func (s *selection) choice() Choice {
	c := &s.best
	return Choice{
		ID:                  c.upstream.replica.ID,
		Address:             c.upstream.replica.Address,
		PredictedFirstToken: c.predicted,
		CachedTokens:        c.cached,
		incarnation:         c.upstream.incarnation,
		uncached:            c.uncached,
		ordinary:            c.ordinary,
	}
}

// waits reports whether the job is to wait for a saturated replica that holds
// more of its prompt than the best one with room.
func (s *selection) waits() bool {
	if s.saturated.upstream == nil || s.best.upstream == nil {
		return false
	}
	if s.best.uncached-s.saturated.uncached < waitTokens {
		return false
	}
	return s.hasTime()
}

// hasTime reports whether the best replica with room would still meet the
// latency target, or the deadline where there is no target to meet.
func (s *selection) hasTime() bool {
	if s.job.LatencyTarget > 0 {
		return s.job.LatencyTarget > s.best.predicted
	}
	answer := time.Duration(s.job.MaxTokens) * s.best.upstream.tokenTime()
	return s.job.Remaining > s.best.predicted+answer+lateMargin
}

func (s *selection) failure() error {
	if s.live == s.tried {
		return &NoReplicaError{Pool: s.job.Pool, Model: s.job.Model, Tried: s.tried}
	}
	return &SaturatedError{Pool: s.job.Pool, RetryAfter: saturatedHint}
}
