package scale

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// standing is what was last ordered.
type standing struct {
	count int
	at    clock.Instant
	// refusedUntil is when the next order may be made after a refusal.
	refusedUntil clock.Instant
}
