package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
)

// offered is a request that was offered to another gateway and not answered
// yet.
type offered struct {
	id    request.ID
	peer  string
	until clock.Instant
}
