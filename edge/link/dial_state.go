package link

import "time"

// dialState is the state of the attempts to connect to one target.
type dialState struct {
	target  Target
	backoff backoff
	// due is the earliest time of the next attempt.
	due time.Time
	// busy is true while an attempt or its handshake is in progress.
	busy bool
}
