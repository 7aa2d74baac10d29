package spread

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// FleetSnapshot is the whole view of the fleet.
type FleetSnapshot struct {
	// Position is the position of the view.
	Position Position `cbor:"1,keyasint"`
	// Instances are all instances.
	Instances []fleet.Instance `cbor:"2,keyasint"`
}

func (*FleetSnapshot) isMessage() {}
