package spread

// MemberUpdate carries entries of the list of members: the changed ones when
// pushed, all of them in answer to a SyncRequest.
type MemberUpdate struct {
	// Members are in no particular order.
	Members []Member `cbor:"1,keyasint"`
}

func (*MemberUpdate) isMessage() {}
