package host

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// timer is something to do at an instant. Timers of the same instant run in
// the order in which they were made.
type timer struct {
	due   clock.Instant
	order uint64
	run   func()
}
