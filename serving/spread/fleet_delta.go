package spread

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// FleetDelta is a change of the view of the fleet.
type FleetDelta struct {
	// Base is the position that the change applies to, and no other.
	Base Position `cbor:"1,keyasint"`
	// Position is the position after the change.
	Position Position `cbor:"2,keyasint"`
	// Upserts are the instances that are new or have changed.
	Upserts []fleet.Instance `cbor:"3,keyasint"`
	// Removed are the identities of instances that are no longer listed.
	Removed []string `cbor:"4,keyasint"`
}

func (*FleetDelta) isMessage() {}
