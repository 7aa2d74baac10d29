package engine

// CacheEvents is the answer to GET /v1/cache/events.
type CacheEvents struct {
	// Events are in the order of their numbers.
	Events []CacheEvent `json:"events"`
	// LastSeq is the number of the last event that is due, dropped or not.
	LastSeq uint64 `json:"last_seq"`
}
