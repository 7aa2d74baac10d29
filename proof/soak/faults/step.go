package faults

import "time"

// step is something that happens at a time of the run.
type step struct {
	at   time.Duration
	name string
	do   func() error
}
