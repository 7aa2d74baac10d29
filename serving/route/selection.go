package route

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// maxTargetShare is the largest share of the latency target that the predicted
// time to the first token may take for the Slack policy to choose by cost.
const maxTargetShare = 0.3

// minTokensSaved is the least number of prompt tokens that the cache of a
// saturated replica must save for a job to wait for it.
const minTokensSaved = 256

// waitCutoff is the time to spare before the latency target below which a job no
// longer waits for a saturated replica.
const waitCutoff = 100 * time.Millisecond

// deadlineMargin is the time to spare before the deadline below which a job that
// can't meet its latency target no longer waits.
const deadlineMargin = time.Second

// selection is the state of one call of Choose.
type selection struct {
	policy Policy
	job    *Job
	rand   *rand.Rand
	now    clock.Instant
	// call is the number of the call, for upstream.matchedInCall.
	call uint64
	// best is the best candidate with capacity so far.
	best candidate
	// saturated is the candidate without capacity that has the fewest prompt
	// tokens to prefill.
	saturated candidate
	// live counts the upstreams that accept requests, and tried those of them
	// that the job has tried.
	live, tried int
}

// consider makes an upstream the best candidate, or the saturated one, if it
// beats the present one.
func (s *selection) consider(u *upstream) {
	if !u.acceptsRequests() || u.replica.Model != s.job.Model {
		return
	}
	s.live++
	if s.job.avoids(u.replica.ID) {
		s.tried++
		return
	}
	if !s.passesHealth(u) {
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

// passesHealth reports whether an upstream takes part in this choice. An ejected
// one doesn't; one that returns from an ejection does at random, by its weight.
func (s *selection) passesHealth(u *upstream) bool {
	weight := u.pool.health.Weight(&u.health, s.now)
	return weight >= 1 || weight > 0 && s.rand.Float64() < weight
}

func (s *selection) candidate(u *upstream) candidate {
	c := candidate{upstream: u, uncached: s.job.PromptTokens}
	if u.matchedInCall == s.call {
		c.cached = min(u.matched*prefix.BlockTokens, s.job.PromptTokens)
		c.uncached -= c.cached
	}
	c.baseline = u.baselineFirstToken(c.uncached)
	c.predicted = time.Duration(float64(c.baseline) * u.slowdown(s.now))
	c.cost = float64(u.prefillTime(c.uncached, s.now)) * float64(max(u.replica.MicrosPerHour, 1))
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
	limit := time.Duration(float64(s.job.LatencyTarget) * maxTargetShare)
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
		baseline:            c.baseline,
	}
}

// shouldWait reports whether the job should wait for a saturated replica that
// holds more of its prompt than the best one with capacity.
func (s *selection) shouldWait() bool {
	if s.saturated.upstream == nil || s.best.upstream == nil {
		return false
	}
	if s.best.uncached-s.saturated.uncached < minTokensSaved {
		return false
	}
	return s.hasTimeToWait()
}

// hasTimeToWait reports whether the best replica with capacity can still meet
// the latency target if the job waits. If it can't meet the target even now, the
// deadline of the whole response counts instead.
func (s *selection) hasTimeToWait() bool {
	if spare := s.job.LatencyTarget - s.best.predicted; spare >= 0 {
		return spare > waitCutoff
	}
	generation := time.Duration(s.job.MaxTokens) * s.best.upstream.tokenTime()
	return s.job.Remaining > s.best.predicted+generation+deadlineMargin
}

func (s *selection) failure() error {
	if s.live == s.tried {
		return &NoReplicaError{Pool: s.job.Pool, Model: s.job.Model, Tried: s.tried}
	}
	return &SaturatedError{Pool: s.job.Pool, RetryAfter: saturatedRetryAfter}
}
