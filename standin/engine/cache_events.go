package engine

// CacheEvents is the response to GET /v1/cache/events.
type CacheEvents struct {
	// Events are sorted by Seq.
	Events []CacheEvent `json:"events"`
	// LastSeq is the number of the last event that is due for publication,
	// dropped or not.
	LastSeq uint64 `json:"last_seq"`
}
