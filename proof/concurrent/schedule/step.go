package schedule

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// step sets the fault switches of one stand-in.
type step struct {
	wait    time.Duration
	address string
	faults  host.Faults
}
