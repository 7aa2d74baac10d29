package follow

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// fleetPublished is a change of the fleet by the holder of its lease.
type fleetPublished struct {
	epoch   uint64
	upserts []fleet.Instance
	removed []string
}

func (fleetPublished) isEvent() {}
