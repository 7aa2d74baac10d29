package relay

// Counts are totals since the start.
type Counts struct {
	Arrived, Answered, Refused, Broken, Aborted, Abandoned uint64
	Sent, Retried, Ran                                     uint64
	PromptTokens, CachedTokens                             uint64
}
