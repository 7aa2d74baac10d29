package relay

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// timer is an instant at which a request is looked at.
type timer struct {
	at     clock.Instant
	handle Handle
}
