package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// dumpDelivery asks delivery for its section of a state dump.
type dumpDelivery struct {
	reply *ring.Ring[report.Section]
}

func (dumpDelivery) isDeliveryMessage() {}
