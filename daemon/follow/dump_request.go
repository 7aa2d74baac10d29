package follow

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// dumpRequest asks for the section of the state dump.
type dumpRequest struct {
	reply *ring.Ring[report.Section]
}

func (dumpRequest) isEvent() {}
