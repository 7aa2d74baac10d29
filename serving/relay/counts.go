package relay

// Counts are totals since the start of the process. The field names are part of
// the JSON of a Snapshot.
type Counts struct {
	Arrived, Answered, Refused, Broken, Aborted, Abandoned uint64
	Sent, Retried, Ran                                     uint64
	Asked, Lent                                            uint64
	PromptTokens, CachedTokens                             uint64
}
