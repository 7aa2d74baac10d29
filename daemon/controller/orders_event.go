package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// ordersEvent is a message to the orders duty: one of its fields is set.
type ordersEvent struct {
	fleet  *ordersNews
	answer *engineAnswer
	dump   *ring.Ring[report.Section]
}
