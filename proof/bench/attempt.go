package bench

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// attempt is a job at an engine.
type attempt struct {
	job     *job
	gateway *gateway
	choice  route.Choice
	sentAt  clock.Instant
	firstAt clock.Instant
	// toCompute is the number of prompt tokens still to be computed.
	toCompute int
	generated int
	canceled  bool
	// ended attempts are known by the gateway to be over.
	ended bool
}
