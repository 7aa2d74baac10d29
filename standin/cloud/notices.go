package cloud

// Notices is the answer to GET /v1/notices.
type Notices struct {
	// Notices are those after the given number.
	Notices []Notice `json:"notices"`
	// LastSeq is the number of the last notice.
	LastSeq uint64 `json:"last_seq"`
}
