package dump

import "github.com/sycamorecourse/sycamorecourse/serving/exchange"

// Watch is the watch duty's section of a state dump.
type Watch struct {
	// Config is the version of the newest configuration that the process knows, and
	// ConfigSource the gateway that has handed it over, or "store". CatchUp tells whether it
	// may be used, and what the others use.
	Config       uint64                `json:"config"`
	ConfigSource string                `json:"config_source"`
	CatchUp      exchange.CatchUpState `json:"catch_up"`

	Entries   int               `json:"upstream_entries"`
	Usable    int               `json:"upstreams_usable"`
	Draining  int               `json:"upstreams_draining"`
	Versions  map[string]uint64 `json:"table_versions"`
	Timelines map[string]uint64 `json:"table_timelines"`
	AgeMillis map[string]int64  `json:"table_ages_ms"`
}
