package link

import "time"

// dialing is the state of the attempts to connect to one target.
type dialing struct {
	target  Target
	backoff backoff
	// due is when the next attempt may start.
	due time.Time
	// busy is true while an attempt or its handshake is under way.
	busy bool
}
