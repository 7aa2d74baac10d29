package engine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// loadSample is a load and the instant of the change to it.
type loadSample struct {
	at   clock.Instant
	load Load
}
