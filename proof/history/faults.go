package history

import "time"

// Faults says how often the table fails. The shares are per mille of the calls.
type Faults struct {
	// Unavailable calls are refused and have no effect.
	Unavailable int
	// Lost writes take effect, but their answer is lost.
	Lost int
	// Dropped writes have no effect, and their answer is lost.
	Dropped int
	// Delayed writes take effect after their answer was lost.
	Delayed int
	// Doubled writes reach the table a second time later.
	Doubled int
	// Outage is the longest outage; one comes in each minute.
	Outage time.Duration
	// Restores takes the table back to older copies.
	Restores Restores
}

// DefaultFaults returns shares far above those of a working service.
func DefaultFaults() Faults {
	return Faults{
		Unavailable: 30,
		Lost:        60,
		Dropped:     60,
		Delayed:     60,
		Doubled:     40,
		Outage:      4 * time.Second,
	}
}
