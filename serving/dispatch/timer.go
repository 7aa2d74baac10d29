package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// timer is an instant at which a request is to be looked at.
type timer struct {
	at  clock.Instant
	id  request.ID
	seq uint64
}
