package health

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Record is what a Group knows of one replica. The zero value is healthy.
type Record struct {
	// failures is the moving share of attempts that failed.
	failures float64
	// streak counts the failures since the last success.
	streak int
	// ejections counts the ejections that followed each other.
	ejections int
	ejected   bool
	// returnsAt is when the ejection ends, and the ramp begins.
	returnsAt clock.Instant
	// probing is set while the one attempt of the beginning of a ramp runs.
	probing bool
}
