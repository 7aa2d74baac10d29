package place

import "time"

// Holding is an instance that is paid for, or may be because its start has no
// known outcome.
type Holding struct {
	// Token is the idempotency token of the start.
	Token string `json:"token"`
	Option
	// MicrosPerHour is the price when the start was decided.
	MicrosPerHour int64 `json:"micros_per_hour"`
	// State is the state of the instance.
	State HoldingState `json:"state"`
	// Instance is the instance ID; empty until the cloud accepted the start.
	Instance string `json:"instance,omitempty"`
	// EndAt is the wall-clock time from which an instance in state Ending may be
	// ended.
	EndAt time.Time `json:"end_at,omitzero"`
}
