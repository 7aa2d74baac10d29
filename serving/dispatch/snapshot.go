package dispatch

// Snapshot is the state of a Core, as shown in a dump. It holds no prompt.
type Snapshot struct {
	// ConfigurationVersion is the version in force.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// Leaving gateways refuse new requests.
	Leaving bool `json:"leaving"`
	// Requests counts the requests by phase.
	Requests map[string]int `json:"requests"`
	// Waiting is the number of requests in the queue.
	Waiting int `json:"waiting"`
	// Upstreams counts the instances by state.
	Upstreams map[string]int `json:"upstreams"`
	// Counts count events since the start.
	Counts Counts `json:"counts"`
	// Open lists open requests, at most MaxOpenShown.
	Open []OpenRequest `json:"open"`
}

// MaxOpenShown bounds the open requests in a Snapshot.
const MaxOpenShown = 200
