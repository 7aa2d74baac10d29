package entry

import "time"

// setBudget replaces the bounds of what may be sent once more.
type setBudget struct {
	ratio  float64
	extra  int
	window time.Duration
}

func (setBudget) isDispatchMessage() {}
