package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// fleetUpdate is a change of the configuration, the instances or the gateways.
type fleetUpdate struct {
	configuration *intent.Configuration
	upserts       []fleet.Instance
	removed       []string
	// gateways is the number of live gateways; 0 if it has not changed.
	gateways int
}

func (fleetUpdate) isDispatchMessage() {}
