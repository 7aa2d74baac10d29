package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// dumpCluster asks the cluster duty for its section of a state dump.
type dumpCluster struct {
	reply *ring.Ring[report.Section]
}

func (dumpCluster) isClusterMessage() {}
