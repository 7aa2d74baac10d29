package entry

import "time"

// setRetryBudget replaces the limits of retries; see relay.Config.
type setRetryBudget struct {
	ratio  float64
	extra  int
	window time.Duration
}

func (setRetryBudget) isDispatchMessage() {}
