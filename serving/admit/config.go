package admit

import "time"

// Defaults of a zero Config.
const (
	// DefaultCapacity is the maximum number of waiting entries.
	DefaultCapacity = 1024
	// DefaultFairnessLag is how far a customer may get ahead of its share.
	DefaultFairnessLag = 3 * time.Second
)

// Config holds the parameters of a Queue. The zero value works.
type Config struct {
	// Capacity is the maximum number of waiting entries; 0 means
	// DefaultCapacity.
	Capacity int
	// FairnessLag is how far a customer may get ahead of its share so that an
	// entry with an earlier target goes first, in time at the present
	// throughput of the pool; 0 means DefaultFairnessLag.
	FairnessLag time.Duration
	// ArrivalOrder serves all requests in the order of their arrival, without
	// shares, targets or early refusal. Benchmarks use it as the baseline.
	ArrivalOrder bool
}

func (c Config) withDefaults() Config {
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	if c.FairnessLag <= 0 {
		c.FairnessLag = DefaultFairnessLag
	}
	return c
}
