package quota

// Demand is what one holder demands of a limit.
type Demand struct {
	// Want is the largest amount that the holder can use.
	Want uint64 `cbor:"1,keyasint"`
	// Weight is the weight of the holder if the limit is too small for all
	// demands; 0 counts as 1.
	Weight uint64 `cbor:"2,keyasint"`
}

func (d Demand) weight() uint64 {
	return max(d.Weight, 1)
}
