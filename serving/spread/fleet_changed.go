package spread

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// FleetChanged is the Action that reports a change of the view of the fleet.
type FleetChanged struct {
	// Upserts are the instances that are new or have changed, with the reclaim
	// notices applied.
	Upserts []fleet.Instance
	// Removed are the IDs of instances that are no longer listed.
	Removed []string
}

func (FleetChanged) isAction() {}
