package dump

// Peers is the peers duty's section of a state dump.
type Peers struct {
	IsHub         bool              `json:"is_hub"`
	LastHub       string            `json:"last_hub"`
	NewsAgeMillis int64             `json:"news_age_ms"`
	Polls         uint64            `json:"polls"`
	Failures      uint64            `json:"failures"`
	Answered      uint64            `json:"answered"`
	Versions      map[string]uint64 `json:"versions"`
	Timelines     map[string]uint64 `json:"timelines"`
}
