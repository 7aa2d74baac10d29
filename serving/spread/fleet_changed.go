package spread

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// FleetChanged says how the view of the fleet has changed.
type FleetChanged struct {
	// Upserts are the instances that are new or have changed.
	Upserts []fleet.Instance
	// Removed are the identities of instances that are no longer listed.
	Removed []string
}

func (FleetChanged) isAction() {}
