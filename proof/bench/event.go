package bench

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// event is something that happens at an instant of virtual time.
type event struct {
	at clock.Instant
	// sequence keeps events of one instant in the order of their scheduling.
	sequence uint64
	run      func()
}
