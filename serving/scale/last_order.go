package scale

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// lastOrder is the last order for a group of upstreams.
type lastOrder struct {
	count     int // -1 after a refusal, which differs from any wanted count
	orderedAt clock.Instant
	// refusedUntil is the earliest time of the next order after a refusal.
	refusedUntil clock.Instant
}
