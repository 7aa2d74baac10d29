package engine

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// loggedEvent is a cache event and the time of the change.
type loggedEvent struct {
	at    clock.Instant
	event CacheEvent
}
