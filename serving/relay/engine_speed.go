package relay

import "time"

const (
	// initialBase is the time to the first event of a prompt that is fully cached,
	// until it has been observed.
	initialBase = 20 * time.Millisecond
	// initialPerToken is the time to read one prompt token, until it has been
	// observed.
	initialPerToken = 20 * time.Microsecond
	// minPerToken and maxPerToken bound the observed time, so that a wrong token
	// count in a request can't make it absurd.
	minPerToken = time.Microsecond
	maxPerToken = 200 * time.Microsecond
	// maxBase bounds the observed base.
	maxBase = 500 * time.Millisecond
	// fasterWeight and slowerWeight are the weights of an observation that is faster
	// or slower than expected. Requests are slower than on an idle engine whenever
	// they queue, so the estimate follows the fast ones.
	fasterWeight = 0.1
	slowerWeight = 0.004
)

// engineSpeed estimates how fast the idle engines of a service are, from the times
// to the first event. The estimate is near the lower end of what is observed.
type engineSpeed struct {
	base     time.Duration // to the first event if the whole prompt is cached
	perToken time.Duration // to read one uncached token of a prompt
}

func newEngineSpeed() engineSpeed {
	return engineSpeed{base: initialBase, perToken: initialPerToken}
}

// firstEvent returns the time to the first event on an idle engine that has to
// read some tokens.
func (e *engineSpeed) firstEvent(tokens int) time.Duration {
	return e.base + e.readTime(tokens)
}

// readTime returns the time to read some prompt tokens.
func (e *engineSpeed) readTime(tokens int) time.Duration {
	return time.Duration(tokens) * e.perToken
}

// tokensPerSecond returns the rate at which one engine reads prompts.
func (e *engineSpeed) tokensPerSecond() float64 {
	return float64(time.Second) / float64(e.perToken)
}

// observe adjusts the estimate to the time in which a request that had to read
// some tokens got its first event. A long prompt adjusts the reading time and a
// short one the base.
func (e *engineSpeed) observe(tokens int, took time.Duration) {
	if e.readTime(tokens) > e.base {
		observed := (took - e.base) / time.Duration(tokens)
		e.perToken = min(max(approach(e.perToken, observed), minPerToken), maxPerToken)
		return
	}
	e.base = min(max(approach(e.base, took-e.readTime(tokens)), 0), maxBase)
}

// approach moves an estimate towards an observation, slowly if that is larger.
// The step up is bounded, as one request may have waited for seconds.
func approach(estimate, observed time.Duration) time.Duration {
	if observed < estimate {
		return estimate - time.Duration(fasterWeight*float64(estimate-observed))
	}
	step := min(observed-estimate, 2*estimate)
	return estimate + time.Duration(slowerWeight*float64(step))
}
