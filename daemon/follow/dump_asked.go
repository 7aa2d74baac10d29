package follow

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// dumpAsked asks for the section of the dump.
type dumpAsked struct {
	reply *ring.Ring[report.Section]
}

func (dumpAsked) isEvent() {}
