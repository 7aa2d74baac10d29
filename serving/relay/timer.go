package relay

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// timer is an instant at which the deadlines of a request are checked.
type timer struct {
	at     clock.Instant
	handle Handle
}
