package cloud

// Notices are the notices after a number.
type Notices struct {
	// Notices are in the order of their numbers.
	Notices []Notice `json:"notices"`
	// LastSeq is the number of the last notice of the cloud.
	LastSeq uint64 `json:"last_seq"`
}
