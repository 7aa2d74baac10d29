package engine

// OrderRecord is the audit record of an order.
type OrderRecord struct {
	// Fencing is the fencing number of the order.
	Fencing uint64 `json:"fencing"`
	// Accepted is false when the order was refused as stale.
	Accepted bool `json:"taken"`
	// Desired is the state that the order asked for.
	Desired DesiredState `json:"wanted"`
}
