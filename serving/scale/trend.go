package scale

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// trend is how many upstreams of a service are needed. It rises at once and
// falls slowly.
type trend struct {
	need int
	// at is when the need last was as high.
	at clock.Instant
	// since is when the first load was known; 0 until then.
	since clock.Instant
}
