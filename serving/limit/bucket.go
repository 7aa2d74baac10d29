package limit

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// bucket is a token bucket.
type bucket struct {
	rate  float64 // refill per second
	size  float64
	level float64
	at    clock.Instant // of level
}

// configure sets rate and size. A smaller size takes effect at once.
func (b *bucket) configure(rate, size float64, now clock.Instant) {
	b.advance(now)
	b.rate, b.size = rate, size
	b.level = min(b.level, size)
}

// advance refills the bucket.
func (b *bucket) advance(now clock.Instant) {
	b.level = min(b.level+b.rate*max(now.Sub(b.at), 0).Seconds(), b.size)
	b.at = now
}
