package spread

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// FleetDelta is an incremental change of the view of the fleet.
type FleetDelta struct {
	// Base is the only position that the change applies to.
	Base FleetPosition `cbor:"1,keyasint"`
	// Position is the position after the change.
	Position FleetPosition `cbor:"2,keyasint"`
	// Upserts are the instances that are new or have changed.
	Upserts []fleet.Instance `cbor:"3,keyasint"`
	// Removed are the IDs of instances that are no longer listed.
	Removed []string `cbor:"4,keyasint"`
}

func (*FleetDelta) isMessage() {}
