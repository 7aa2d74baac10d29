package controller

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// publisher passes the instances on to the gateways.
type publisher interface {
	// PublishFleet passes changes on. Epoch is the fencing number of the fleet
	// lease: news of an older epoch is dropped.
	PublishFleet(epoch uint64, upserts []fleet.Instance, removed []string)
}
