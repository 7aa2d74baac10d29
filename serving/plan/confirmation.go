package plan

import "time"

// Confirmation says that a plan was confirmed.
type Confirmation struct {
	// Version is the version that the configuration got.
	Version uint64 `json:"version"`
	// Plan names the plan.
	Plan string `json:"plan"`
	// By names the operator.
	By string `json:"by"`
	// At is the time by the controller's clock.
	At time.Time `json:"at"`
}
