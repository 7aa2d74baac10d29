package spread

// NoticeNews passes reclaim notices on.
type NoticeNews struct {
	// Notices are those that the receiver may lack.
	Notices []Notice `cbor:"1,keyasint"`
}

func (*NoticeNews) isMessage() {}
