package faults

import "time"

// plannedKill is a gateway, by its number, that is killed some time after the drill has begun,
// and started anew later.
type plannedKill struct {
	gateway  int
	at, down time.Duration
}
