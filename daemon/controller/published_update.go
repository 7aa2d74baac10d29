package controller

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// publishedUpdate is a change of the instances that were published to the
// gateways, by this or another controller.
type publishedUpdate struct {
	upserts []fleet.Instance
	removed []string
}
