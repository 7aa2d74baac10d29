package limit

import "time"

// Config holds what limits of all customers have in common.
type Config struct {
	// Window is the sliding window in which the use of a limit is counted.
	Window time.Duration
	// Overage is the part of a limit by which its use in a window may exceed it.
	Overage float64
	// Slack is the amount by which it may exceed that, in the unit of the limit.
	Slack float64
	// IsAlone is set if there are no other gateways until SetDivision is called.
	IsAlone bool
}
