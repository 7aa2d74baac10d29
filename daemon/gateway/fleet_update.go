package gateway

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// fleetUpdate is news of the configuration, the instances and the gateways.
type fleetUpdate struct {
	configuration *intent.Configuration
	upserts       []fleet.Instance
	removed       []string
	// gateways is the number of live gateways; 0 says nothing.
	gateways int
}

func (fleetUpdate) isDispatchMessage() {}
