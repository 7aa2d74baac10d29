package spread

// Position orders the views of the fleet.
type Position struct {
	// Epoch is the fencing number of the lease under which the view was made.
	Epoch uint64 `json:"epoch" cbor:"1,keyasint"`
	// Sequence counts the changes within the epoch.
	Sequence uint64 `json:"sequence" cbor:"2,keyasint"`
}

// Before reports whether p is older than o.
func (p Position) Before(o Position) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch < o.Epoch
	}
	return p.Sequence < o.Sequence
}
