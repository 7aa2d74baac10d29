package member

import "time"

// Config holds the parameters of a view.
type Config struct {
	// Links is the number of neighbours that each process chooses.
	Links int
	// HeartbeatEvery is the time from one heartbeat to the next.
	HeartbeatEvery time.Duration
	// SuspectAfter is the silence after which a neighbour is suspected.
	SuspectAfter time.Duration
	// GoneAfter is the time for which a suspicion may be refuted.
	GoneAfter time.Duration
	// ForgetAfter is the time after which a process that is gone is forgotten.
	// It must be longer than any news can be under way.
	ForgetAfter time.Duration
}

// DefaultConfig returns the parameters of a few hundred processes.
func DefaultConfig() Config {
	return Config{
		Links:          4,
		HeartbeatEvery: time.Second,
		SuspectAfter:   3 * time.Second,
		GoneAfter:      5 * time.Second,
		ForgetAfter:    24 * time.Hour,
	}
}
