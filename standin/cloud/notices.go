package cloud

// Notices is the response to GET /v1/notices.
type Notices struct {
	// Notices are those with a number above the after parameter.
	Notices []Notice `json:"notices"`
	// LastSeq is the number of the last notice.
	LastSeq uint64 `json:"last_seq"`
}
