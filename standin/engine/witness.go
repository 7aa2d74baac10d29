package engine

// Witness is the answer to GET /standin/runs.
type Witness struct {
	// Requests are in the order of their first arrival.
	Requests []*RequestWitness `json:"requests"`
	// Orders are the orders that arrived.
	Orders []OrderWitness `json:"orders"`
}
