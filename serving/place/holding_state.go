package place

// HoldingState is how far an instance of a ledger has come.
type HoldingState string

// The states of a holding.
const (
	// Ordered instances were asked for, or are about to be.
	Ordered HoldingState = "ordered"
	// Started instances have an ID.
	Started HoldingState = "started"
	// Ending instances take no new work and are ended at a given time.
	Ending HoldingState = "ending"
)
