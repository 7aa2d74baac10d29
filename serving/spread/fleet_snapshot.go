package spread

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// FleetSnapshot is a complete view of the fleet.
type FleetSnapshot struct {
	// Position is the position of the view.
	Position FleetPosition `cbor:"1,keyasint"`
	// Instances are all instances in the view.
	Instances []fleet.Instance `cbor:"2,keyasint"`
}

func (*FleetSnapshot) isMessage() {}
