package cloud

import "time"

// Notice announces that an instance will be reclaimed.
type Notice struct {
	// Seq numbers the notices from 1.
	Seq uint64 `json:"seq"`
	// InstanceID identifies the instance.
	InstanceID string `json:"instance_id"`
	// Deadline is when the instance ends.
	Deadline time.Time `json:"deadline"`
}
