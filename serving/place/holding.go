package place

import "time"

// Holding is an instance that is paid for, or may be.
type Holding struct {
	// Token makes the start idempotent at the cloud.
	Token string `json:"token"`
	Option
	// MicrosPerHour is the price at the start.
	MicrosPerHour int64 `json:"micros_per_hour"`
	// State is how far it has come.
	State HoldingState `json:"state"`
	// Instance is the ID; empty until the start was answered.
	Instance string `json:"instance,omitempty"`
	// EndAt is the time by the wall clock from which an ending instance may be
	// ended.
	EndAt time.Time `json:"end_at,omitzero"`
}
