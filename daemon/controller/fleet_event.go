package controller

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// fleetEvent is a message to the fleet duty: one of its fields is set.
type fleetEvent struct {
	// resume goes on with a call that was answered.
	resume        func()
	configuration *intent.Configuration
	serving       *servingNews
	followed      *followedNews
	stop          bool
	dump          *ring.Ring[report.Section]
}
