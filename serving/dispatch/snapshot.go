package dispatch

// Snapshot is the state of a Core for the debug dump. It contains no prompts.
type Snapshot struct {
	// ConfigurationVersion is the version of the configuration in force.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// Draining reports that the gateway refuses new requests.
	Draining bool `json:"leaving"`
	// Requests counts the requests by phase.
	Requests map[string]int `json:"requests"`
	// Waiting is the number of requests in the queue.
	Waiting int `json:"waiting"`
	// Upstreams counts the known instances by state.
	Upstreams map[string]int `json:"upstreams"`
	// Counts holds the event counters.
	Counts Counts `json:"counts"`
	// Open lists at most MaxListedRequests open requests.
	Open []OpenRequest `json:"open"`
}

// MaxListedRequests limits the open requests that a Snapshot lists.
const MaxListedRequests = 200
