package plan

import "time"

// Confirmation records who confirmed a plan and when.
type Confirmation struct {
	// Version is the version of the configuration that the plan became.
	Version uint64 `json:"version"`
	// Plan is the ID of the plan.
	Plan string `json:"plan"`
	// By names the operator who confirmed the plan.
	By string `json:"by"`
	// At is the time of the confirmation by the controller's clock.
	At time.Time `json:"at"`
}
