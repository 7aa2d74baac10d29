package scale

import (
	"math"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
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
	// isLoaded is set once a load was seen.
	isLoaded bool
}

// inherit takes what a former holder has ordered for what is needed.
func (t *trend) inherit(onDemand int, now clock.Instant) {
	t.need = int(math.Ceil(float64(onDemand) / onDemandShare))
	t.at = now.Add(inheritTime - lullTime)
}

// await takes the number of upstreams before any load.
func (t *trend) await(there int, now clock.Instant) {
	if there > t.first {
		t.first, t.since = there, now
	}
	t.need, t.at = int(math.Ceil(firstShare*float64(t.first))), now
}
