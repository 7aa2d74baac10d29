package cloud

// Notices holds the notices after a sequence number.
type Notices struct {
	// Notices is in the order of the sequence numbers.
	Notices []Notice `json:"notices"`
	// LastSeq is the sequence number of the latest notice of the cloud.
	LastSeq uint64 `json:"last_seq"`
}
