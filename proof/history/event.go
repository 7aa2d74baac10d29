package history

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// event is a call at an instant.
type event struct {
	at    clock.Instant
	order uint64
	call  func()
}
