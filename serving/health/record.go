package health

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// Record is the health state of one replica in a Group. The zero value is
// healthy.
type Record struct {
	// failureRate is the exponentially weighted share of failed attempts. It
	// restarts at 0 with each ejection.
	failureRate float64
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// ejections counts the ejections since the replica last counted as
	// recovered.
	ejections int
	isEjected bool
	// ejectedUntil is when the last ejection ends and the slow start begins.
	ejectedUntil clock.Instant
	// isProbing is set while a probe runs. Once a replica has been ejected, it
	// gets one attempt at a time until one succeeds.
	isProbing bool
}
