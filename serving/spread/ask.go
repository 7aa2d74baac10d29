package spread

// Ask requests what its sender lacks.
type Ask struct {
	// Topic is what is asked for.
	Topic Topic `cbor:"1,keyasint"`
	// Fleet is the position of the sender's view of the fleet.
	Fleet Position `cbor:"2,keyasint"`
}

func (*Ask) isMessage() {}
