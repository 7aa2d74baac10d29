package engine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// tokenCount is the number of tokens generated at an instant.
type tokenCount struct {
	at clock.Instant
	n  int
}
