package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Performance model of an upstream of baseline speed.
const (
	// baselineStepTime is the duration of an engine step without load, and
	// baselineStepTimePerRequest what each request in progress adds to it.
	baselineStepTime            = 25 * time.Millisecond
	baselineStepTimePerRequest  = 500 * time.Microsecond
	baselinePrefillTimePerToken = 100 * time.Microsecond
)

const (
	// observationWeight is the weight of a new observation in the averages.
	observationWeight = 0.15
	// minSlowdown and maxSlowdown limit a single observation.
	minSlowdown = 0.1
	maxSlowdown = 20.0
	// baselineSlowdown and baselineTokenMillis apply until there is an
	// observation.
	baselineSlowdown    = 1.0
	baselineTokenMillis = 30.0
	// slowdownDecayTime is the time over which an observed slowdown decays to
	// that of the pool, so that a replica avoided as slow is tried again.
	slowdownDecayTime = 30 * time.Second
)

// speed is the observed speed of an upstream.
type speed struct {
	// slowdown is the time to the first token relative to that of an upstream of
	// baseline speed.
	slowdown ewma
	// observedAt is when slowdown was last observed.
	observedAt clock.Instant
	// tokenMillis is the time between two tokens, in milliseconds.
	tokenMillis ewma
}

// baselineFirstTokenTime returns the time to the first token of an upstream of
// baseline speed, given the requests in progress and the prompt tokens to
// prefill before it.
func baselineFirstTokenTime(inProgress, tokens int) time.Duration {
	step := baselineStepTime + time.Duration(inProgress)*baselineStepTimePerRequest
	return step + time.Duration(tokens)*baselinePrefillTimePerToken
}

// slowdownAt returns the slowdown at an instant: the observed one, which decays
// linearly to fallback as the last observation ages.
func (s *speed) slowdownAt(now clock.Instant, fallback float64) float64 {
	if !s.slowdown.hasValue {
		return fallback
	}
	age := float64(now.Sub(s.observedAt)) / float64(slowdownDecayTime)
	return fallback + (s.slowdown.value-fallback)*max(1-age, 0)
}

func (s *speed) observeFirstToken(after, baseline time.Duration, now clock.Instant) {
	s.observedAt = now
	ratio := float64(after) / float64(max(baseline, 1))
	s.slowdown.add(min(max(ratio, minSlowdown), maxSlowdown), observationWeight)
}

func (s *speed) observeNextTokens(n int, over time.Duration) {
	if n > 0 {
		s.tokenMillis.add(float64(over)/float64(time.Millisecond)/float64(n), observationWeight)
	}
}
