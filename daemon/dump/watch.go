package dump

// Watch is the watch duty's section of a state dump.
type Watch struct {
	Config    uint64            `json:"config"`
	Entries   int               `json:"upstream_entries"`
	Usable    int               `json:"upstreams_usable"`
	Draining  int               `json:"upstreams_draining"`
	Versions  map[string]uint64 `json:"table_versions"`
	Timelines map[string]uint64 `json:"table_timelines"`
	AgeMillis map[string]int64  `json:"table_ages_ms"`
}
