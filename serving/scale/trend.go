package scale

import (
	"math"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// shortShare is the part of the reclaimable upstreams wanted under which they
	// are short, and nothing is given up.
	shortShare = 0.75
	// growth bounds how many more than there are may be needed.
	growth = 3
	// settleTime is how long the number of upstreams must have stayed the same at
	// the start until all are taken to have registered.
	settleTime = 3 * time.Second
	// learnTime is how long nothing is given up after the first load, which is an
	// average that has only begun, or is that of gateways which may have just
	// started.
	learnTime = 8 * time.Second
	// firstShare is the share of the upstreams that are there at the start which is
	// taken to be needed until the load is known.
	firstShare = 0.55
	// lullTime is how long a need must have fallen before less is ordered.
	lullTime = 3 * time.Second
	// stepTime is the time between two steps down.
	stepTime = 500 * time.Millisecond
	// stepDown is the size of a step, and stepShare its share of a large need.
	stepDown  = 1
	stepShare = 0.06
)

// trend is how many upstreams of a service are needed. It rises at once and
// falls slowly.
type trend struct {
	need int
	// at is when the need last was as high.
	at clock.Instant
	// first is the number of upstreams that were there before any load, and since
	// is when it last changed.
	first int
	since clock.Instant
	// spare is the number of reclaimable upstreams wanted beside those on demand.
	spare int
	// isLoaded is set once a load was seen.
	isLoaded bool
}

// follow takes the load, and how many upstreams of each kind there are.
func (t *trend) follow(load Load, slots, onDemand, reclaimable int, now clock.Instant) {
	if load == (Load{}) && !t.isLoaded {
		t.await(onDemand, now)
		return
	}
	if !t.isLoaded {
		t.begin(onDemand, now)
	}
	// An overload looks like more than it is: requests are read again.
	need := min(load.need(slots), max(t.need, onDemand+reclaimable+growth))
	switch {
	case need >= t.need:
		t.need, t.at = need, now
	case float64(reclaimable) < shortShare*float64(t.spare):
		// What is on demand may have to carry all of the load.
		t.at = now
	case now.Sub(t.at) >= lullTime:
		t.need, t.at = max(need, t.need-max(stepDown, int(stepShare*float64(t.need)))), now.Add(stepTime-lullTime)
	}
}

// begin notes the first load. What a former holder has ordered is taken for what
// is needed, where nothing was there before any load.
func (t *trend) begin(onDemand int, now clock.Instant) {
	if t.first == 0 {
		t.need = int(math.Ceil(float64(onDemand) / onDemandShare))
	}
	t.isLoaded, t.at = true, now.Add(learnTime-lullTime)
}

// await takes the number of upstreams before any load.
func (t *trend) await(there int, now clock.Instant) {
	if there > t.first {
		t.first, t.since = there, now
	}
	t.need, t.at = int(math.Ceil(firstShare*float64(t.first))), now
}

// isSettled reports whether it is known what there was at the start, or what the
// load is.
func (t *trend) isSettled(now clock.Instant) bool {
	return t.isLoaded || (t.first > 0 && now.Sub(t.since) >= settleTime)
}
