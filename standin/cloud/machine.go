package cloud

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// machine is an instance, the request that started it and its upstream.
type machine struct {
	instance fleet.Instance
	request  StartRequest
	upstream Upstream
	started  clock.Instant
	ended    clock.Instant
}
