package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// fleetEvent is a message to the fleet duty. Exactly one field is set.
type fleetEvent struct {
	// resume handles the result of an asynchronous call.
	resume        func()
	configuration *intent.Configuration
	serving       *servingUpdate
	published     *publishedUpdate
	stop          bool
	dump          *ring.Ring[report.Section]
}
