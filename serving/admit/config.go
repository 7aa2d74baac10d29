package admit

import "time"

// Defaults of a zero Config.
const (
	// DefaultCapacity is the number of entries that a Queue holds.
	DefaultCapacity = 1024
	// DefaultFairnessLag is how far a customer may be ahead of its share.
	DefaultFairnessLag = 3 * time.Second
)

// Config holds the parameters of a Queue. The zero value works.
type Config struct {
	// Capacity bounds the entries waiting; 0 means DefaultCapacity.
	Capacity int
	// FairnessLag is how far, in time at the present throughput of a pool, a
	// customer may be ahead of its share for the sake of an earlier target;
	// 0 means DefaultFairnessLag.
	FairnessLag time.Duration
	// ArrivalOrder serves all requests in the order of their arrival, without
	// shares, targets or early refusal. It is the baseline of measurements.
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
