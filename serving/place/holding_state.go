package place

// HoldingState is the state of an instance in a ledger.
type HoldingState string

// The states of a holding.
const (
	// Ordered means that the cloud was asked to start the instance, or is about
	// to be.
	Ordered HoldingState = "ordered"
	// Started means that the cloud accepted the start: the instance has an ID.
	Started HoldingState = "started"
	// Ending means that the instance takes no new work and is ended from EndAt
	// on.
	Ending HoldingState = "ending"
)
