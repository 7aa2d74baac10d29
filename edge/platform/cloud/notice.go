package cloud

import "time"

// Notice says that the cloud will take an instance.
type Notice struct {
	// Seq numbers the notices from 1.
	Seq uint64 `json:"seq"`
	// InstanceID names the instance.
	InstanceID string `json:"instance_id"`
	// Deadline is the time by the wall clock at which the instance ends.
	Deadline time.Time `json:"deadline"`
}
