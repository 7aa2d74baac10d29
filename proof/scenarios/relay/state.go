package relay

import "time"

// State is how a relay treats connections. The zero value passes all on at once.
type State struct {
	// HoldsForth holds up what goes to the target.
	HoldsForth bool
	// HoldsBack holds up what comes from the target.
	HoldsBack bool
	// Delay is how long each piece waits on its way.
	Delay time.Duration
	// Fault is what happens to what comes from the target. It is for requests and responses
	// that come in one piece each.
	Fault Fault
}
