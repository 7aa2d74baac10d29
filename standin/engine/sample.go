package engine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// sample is a load and the time since which it was so.
type sample struct {
	at   clock.Instant
	load Load
}
