package service

// AuditLog is the response to GET /standin/runs: how often each request key ran,
// for tests to compare with what callers saw.
type AuditLog struct {
	// Keys are sorted by first run.
	Keys []*KeyRuns `json:"keys"`
	// Runs is the total number of runs.
	Runs int `json:"runs"`
}
