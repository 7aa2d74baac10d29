package relay

// MemberSnapshot is the state of one upstream in a Snapshot.
type MemberSnapshot struct {
	ID            string  `json:"id"`
	Service       string  `json:"service"`
	Address       string  `json:"address"`
	Version       string  `json:"version"`
	Open          int     `json:"open"`
	PrefillTokens int     `json:"reading_tokens"`
	Weight        float64 `json:"weight"`
	ErrorRate     float64 `json:"errors"`
	DelayMillis   int64   `json:"delay_ms"`
}
