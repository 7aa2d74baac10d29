package relay

import "time"

// Fault is how a relay spoils the pieces that come from its target, as a server that
// fails does. The zero value leaves them as they are.
type Fault struct {
	// Kind is what is done.
	Kind FaultKind
	// Bytes is the number of bytes of a piece after which, or with which, it is done.
	Bytes int
	// Delay is the time after a refusal until LateCopy sends its copy.
	Delay time.Duration
	// Line is the number of the line that SpoilHead adds, counted from 0 over and over.
	Line int
}
