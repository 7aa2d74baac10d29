package relay

// MemberSnapshot is the state of an upstream, for a dump.
type MemberSnapshot struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	Address     string  `json:"address"`
	Open        int     `json:"open"`
	Reading     int     `json:"reading_tokens"`
	Weight      float64 `json:"weight"`
	Errors      float64 `json:"errors"`
	DelayMillis int64   `json:"delay_ms"`
}
