package engine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// tokenCount is the number of tokens generated in the step at an instant.
type tokenCount struct {
	at clock.Instant
	n  int
}
