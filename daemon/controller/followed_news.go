package controller

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// followedNews is a change of the instances that the gateways were told of, by
// whichever controller.
type followedNews struct {
	upserts []fleet.Instance
	removed []string
}
