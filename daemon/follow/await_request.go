package follow

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// awaitRequest asks for a Progress once all members have a version, or at the
// deadline.
type awaitRequest struct {
	version  uint64
	deadline clock.Instant
	reply    *ring.Ring[spread.Progress]
}

func (awaitRequest) isEvent() {}
