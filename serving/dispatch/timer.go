package dispatch

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// timer is an instant at which the deadlines of a request are to be checked. It
// is ignored if seq is not that of the entry: the request was forgotten since.
type timer struct {
	at  clock.Instant
	id  request.ID
	seq uint64
}
