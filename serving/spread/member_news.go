package spread

// MemberNews carries members that are new or have changed.
type MemberNews struct {
	// Members are in no order.
	Members []Member `cbor:"1,keyasint"`
}

func (*MemberNews) isMessage() {}
