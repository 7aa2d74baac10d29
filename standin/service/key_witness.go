package service

// KeyWitness is the number of runs of one request key.
type KeyWitness struct {
	// Key is the request key; calls without one have the empty key.
	Key string `json:"key"`
	// Runs is the number of runs.
	Runs int `json:"runs"`
	// Method is the method of the last run.
	Method string `json:"method"`
	// Path is the path of the last run.
	Path string `json:"path"`
}
