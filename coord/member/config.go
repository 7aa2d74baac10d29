package member

import "time"

// Config holds the parameters of a View.
type Config struct {
	// NeighbourCount is the number of neighbours that each process chooses. It
	// must be at least 2.
	NeighbourCount int
	// HeartbeatEvery is the interval between heartbeats.
	HeartbeatEvery time.Duration
	// SuspectAfter is the time without a heartbeat after which a neighbour is
	// suspected.
	SuspectAfter time.Duration
	// GoneAfter is the time that a suspected process has to refute the
	// suspicion before it counts as gone.
	GoneAfter time.Duration
	// ForgetAfter is the time after which a process that is gone is removed
	// from the view. It must exceed the longest delivery time of an update.
	ForgetAfter time.Duration
}

// DefaultConfig returns parameters for a few hundred processes.
func DefaultConfig() Config {
	return Config{
		NeighbourCount: 4,
		HeartbeatEvery: time.Second,
		SuspectAfter:   3 * time.Second,
		GoneAfter:      5 * time.Second,
		ForgetAfter:    24 * time.Hour,
	}
}
