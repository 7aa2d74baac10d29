package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// admissionMessage is a message to admission. One field is set.
type admissionMessage struct {
	ticket        *ticket
	configuration *intent.Configuration
	addresses     []caller.Address
	leave         bool
	dump          *ring.Ring[report.Section]
}
