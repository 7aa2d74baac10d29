package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// plannerEvent is a message to the planner duty. Exactly one field is set.
type plannerEvent struct {
	command   *command
	result    *storeResult
	fleet     *fleetSnapshot
	processes *processUpdate
	progress  *spread.Progress
	dump      *ring.Ring[report.Section]
}
