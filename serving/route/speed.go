package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Times of an upstream of ordinary speed, before anything was observed.
const (
	stepTime           = 25 * time.Millisecond
	stepTimePerRequest = 500 * time.Microsecond
	timePerToken       = 100 * time.Microsecond
)

// Parameters of the observation of the speed.
const (
	speedWeight         = 0.15
	leastSlowness       = 0.1
	greatestSlowness    = 20.0
	ordinarySlowness    = 1.0
	ordinaryTokenMillis = 30.0
	// slownessMemory is the time over which an observed slowness loses its
	// weight, so that a replica that is avoided for it is tried again.
	slownessMemory = 30 * time.Second
)

// speed is how an upstream compares with an ordinary one.
type speed struct {
	// slowness is the time to the first token over that of an ordinary one.
	slowness ewma
	// observedAt is when slowness was observed last.
	observedAt clock.Instant
	// tokenMillis is the time between two tokens, in milliseconds.
	tokenMillis ewma
}

// firstToken is the time to the first token at an ordinary upstream, given the
// requests in progress and the prompt tokens to compute before it.
func firstToken(inProgress, tokens int) time.Duration {
	step := stepTime + time.Duration(inProgress)*stepTimePerRequest
	return step + time.Duration(tokens)*timePerToken
}

// slownessAt is the slowness at an instant, which turns from the observed one to
// a usual one as the last observation ages.
func (s *speed) slownessAt(now clock.Instant, usual float64) float64 {
	if !s.slowness.known {
		return usual
	}
	age := float64(now.Sub(s.observedAt)) / float64(slownessMemory)
	return usual + (s.slowness.value-usual)*max(1-age, 0)
}

func (s *speed) observeFirstToken(after, ordinary time.Duration, now clock.Instant) {
	s.observedAt = now
	ratio := float64(after) / float64(max(ordinary, 1))
	s.slowness.add(min(max(ratio, leastSlowness), greatestSlowness), speedWeight)
}

func (s *speed) observeNextTokens(n int, over time.Duration) {
	if n > 0 {
		s.tokenMillis.add(float64(over)/float64(time.Millisecond)/float64(n), speedWeight)
	}
}
