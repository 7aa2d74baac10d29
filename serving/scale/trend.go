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
	// spare is the number of reclaimable upstreams wanted beside those on demand.
	spare int
	// isLoaded is set once a load was seen.
	isLoaded bool
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
