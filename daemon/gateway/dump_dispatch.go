package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// dumpDispatch asks dispatch for its section of a state dump.
type dumpDispatch struct {
	reply *ring.Ring[report.Section]
}

func (dumpDispatch) isDispatchMessage() {}
