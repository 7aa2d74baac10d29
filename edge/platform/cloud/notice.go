package cloud

import "time"

// Notice announces that the cloud will reclaim an instance.
type Notice struct {
	// Seq is the sequence number; the first notice has 1.
	Seq uint64 `json:"seq"`
	// InstanceID is the ID of the instance.
	InstanceID string `json:"instance_id"`
	// Deadline is the wall clock time at which the instance ends.
	Deadline time.Time `json:"deadline"`
}
