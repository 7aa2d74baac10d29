package history

import "time"

// Restores says how often and how far back the table is restored from older copies of
// itself. The zero value restores nothing, in timeline 0.
type Restores struct {
	// Every is the mean time between two restores.
	Every time.Duration
	// Youngest and Oldest bound the age of a copy.
	Youngest, Oldest time.Duration
	// Away is the longest time for which the table is away before it comes back.
	Away time.Duration
	// Repeated restores, per mille, are followed by another one within Again.
	Repeated int
	// Again is the longest time to a repeated restore.
	Again time.Duration
	// NoTimeline hides the timeline from the callers.
	NoTimeline bool
	// NoGuard lets transactions of former timelines take effect at any time.
	NoGuard bool
}

// DefaultRestores returns restores far more often than those of a working service.
func DefaultRestores() Restores {
	return Restores{
		Every:    20 * time.Second,
		Youngest: time.Second,
		Oldest:   20 * time.Second,
		Away:     3 * time.Second,
		Repeated: 300,
		Again:    4 * time.Second,
	}
}
