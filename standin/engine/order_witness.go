package engine

// OrderWitness is an order that arrived.
type OrderWitness struct {
	// Fencing is the fencing number of the order.
	Fencing uint64 `json:"fencing"`
	// Taken is false when the order was refused as stale.
	Taken bool `json:"taken"`
	// Wanted is the state that it asked for.
	Wanted Wanted `json:"wanted"`
}
