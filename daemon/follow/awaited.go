package follow

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// awaited asks to be told when all members have a version.
type awaited struct {
	version  uint64
	deadline clock.Instant
	reply    *ring.Ring[spread.Progress]
}

func (awaited) isEvent() {}
