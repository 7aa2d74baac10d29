package engine

// AuditLog is the response to GET /standin/runs: what the engine did with each
// request and order, for tests to compare with what callers saw.
type AuditLog struct {
	// Requests are sorted by first arrival.
	Requests []*RequestRecord `json:"requests"`
	// Orders are sorted by arrival and include the refused ones.
	Orders []OrderRecord `json:"orders"`
}
