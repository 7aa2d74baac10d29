package spread

// SyncRequest asks a peer for state that the sender lacks.
type SyncRequest struct {
	// Topic is the kind of state.
	Topic Topic `cbor:"1,keyasint"`
	// Fleet is the position of the sender's view, for TopicFleet.
	Fleet FleetPosition `cbor:"2,keyasint"`
}

func (*SyncRequest) isMessage() {}
