package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
)

// storeEvent is a message to the store duty: one of its fields is set.
type storeEvent struct {
	request *storeRequest
	answer  *tableAnswer
	dump    *ring.Ring[report.Section]
}
