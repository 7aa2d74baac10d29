package engine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// loggedEvent is a cache event and the instant of the change that it reports.
type loggedEvent struct {
	at    clock.Instant
	event CacheEvent
}
