package exchange

// CatchUpState is the state of a CatchUp, for state dumps. Times are in milliseconds.
type CatchUpState struct {
	// Standing tells whether what the process has may be used, and why.
	Standing Standing `json:"standing"`
	// Timeline is the timeline of the store in which the configuration was read last, for the
	// first time ReadMillisAgo.
	Timeline      uint64 `json:"timeline"`
	ReadMillisAgo int64  `json:"read_ms_ago"`
	// Newest is the newest version that another gateway, NewestFrom, is known to use; 0 if none
	// is. It has been known since NewestMillisAgo.
	Newest          uint64 `json:"newest"`
	NewestFrom      string `json:"newest_from"`
	NewestMillisAgo int64  `json:"newest_ms_ago"`
	// Answered are the gateways that have answered in this timeline with what they use, and
	// Failed those that were asked and have not.
	Answered []string `json:"answered"`
	Failed   []string `json:"failed"`
}
