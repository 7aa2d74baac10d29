package rowstore

import "time"

// Drill is a restore of the store from an older copy.
type Drill struct {
	// Away is how long the store is away before it comes back.
	Away time.Duration
	// Age is how old the copy is at the beginning of that time.
	Age time.Duration
	// Rewrite is the time after which the operator and the upstreams have written again
	// what of theirs was lost.
	Rewrite time.Duration
}
