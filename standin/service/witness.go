package service

// Witness is the answer to GET /standin/runs.
type Witness struct {
	// Keys are in the order of their first run.
	Keys []*KeyWitness `json:"keys"`
	// Runs is the number of runs of all keys.
	Runs int `json:"runs"`
}
