package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// ordersEvent is a message to the orders duty. Exactly one field is set.
type ordersEvent struct {
	snapshot *ordersSnapshot
	result   *engineResult
	dump     *ring.Ring[report.Section]
}
