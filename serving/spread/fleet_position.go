package spread

// FleetPosition is the version of a view of the fleet.
type FleetPosition struct {
	// Epoch is the fencing number of the lease that the view was published
	// under.
	Epoch uint64 `json:"epoch" cbor:"1,keyasint"`
	// Sequence counts the changes within the epoch.
	Sequence uint64 `json:"sequence" cbor:"2,keyasint"`
}

// Before reports whether p is older than o.
func (p FleetPosition) Before(o FleetPosition) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch < o.Epoch
	}
	return p.Sequence < o.Sequence
}
