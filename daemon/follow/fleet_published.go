package follow

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// fleetPublished is a change of the fleet made by the holder of the fleet
// lease.
type fleetPublished struct {
	epoch   uint64
	upserts []fleet.Instance
	removed []string
}

func (fleetPublished) isEvent() {}
