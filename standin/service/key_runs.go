package service

// KeyRuns is the audit record of one request key.
type KeyRuns struct {
	// Key is the request key; calls without one share the empty key.
	Key string `json:"key"`
	// Runs is the number of runs.
	Runs int `json:"runs"`
	// Method is the method of the last run.
	Method string `json:"method"`
	// Path is the path of the last run.
	Path string `json:"path"`
}
