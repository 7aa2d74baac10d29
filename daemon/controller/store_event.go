package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// storeEvent is a message to the store duty. Exactly one field is set.
type storeEvent struct {
	request *storeRequest
	result  *tableResult
	dump    *ring.Ring[report.Section]
}
