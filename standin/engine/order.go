package engine

// Order is the body of POST /v1/orders.
type Order struct {
	// Fencing is the fencing number of the sender's lease.
	Fencing uint64 `json:"fencing"`
	// Desired is the state that the engine should reach.
	Desired DesiredState `json:"wanted"`
}
