package spread

// NoticeUpdate carries reclaim notices.
type NoticeUpdate struct {
	// Notices are those that the receiver may lack.
	Notices []Notice `cbor:"1,keyasint"`
}

func (*NoticeUpdate) isMessage() {}
