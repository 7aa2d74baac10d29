package history

import "time"

// Trouble bounds how often and how long nodes are in trouble.
type Trouble struct {
	// Every is the mean time between two pauses, crashes or separations from
	// the table of a node.
	Every time.Duration
	// Longest is the longest pause, time to a restart, or separation.
	Longest time.Duration
	// SkewPPM bounds the error of the rates of the clocks.
	SkewPPM int64
}
