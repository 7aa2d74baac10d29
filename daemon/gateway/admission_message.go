package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/caller"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// admissionMessage is a message to admission. Exactly one field is set.
type admissionMessage struct {
	request       *decodedRequest
	configuration *intent.Configuration
	addresses     []caller.Address
	// drain reports that a graceful shutdown has begun. It only shows in
	// dumps: requests are still authenticated, and dispatch refuses them.
	drain bool
	dump  *ring.Ring[report.Section]
}
