package quota

// Demand is what one party asks of a limit.
type Demand struct {
	// Want is the most that the party can use.
	Want uint64 `cbor:"1,keyasint"`
	// Weight is its weight when the limit is short; 0 counts as 1.
	Weight uint64 `cbor:"2,keyasint"`
}

func (d Demand) weight() uint64 {
	return max(d.Weight, 1)
}
