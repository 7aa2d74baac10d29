package entry

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// dumpPeers asks the peers duty for its section of a state dump.
type dumpPeers struct {
	reply *ring.Ring[report.Section]
}

func (dumpPeers) isPeerMessage() {}
