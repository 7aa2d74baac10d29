package prefix

import "time"

// Defaults of a zero IndexConfig.
const (
	// DefaultCapacity is the maximum number of blocks in an Index.
	DefaultCapacity = 1 << 15
	// DefaultExpiry is how long a holder of a block counts after the last Add.
	DefaultExpiry = 2 * time.Minute
)

// IndexConfig holds the parameters of an Index. The zero value works.
type IndexConfig struct {
	// Capacity is the maximum number of blocks; 0 means DefaultCapacity.
	Capacity int
	// Expiry is how long a holder of a block counts after the last Add; 0 means
	// DefaultExpiry.
	Expiry time.Duration
}

func (c IndexConfig) withDefaults() IndexConfig {
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	if c.Expiry <= 0 {
		c.Expiry = DefaultExpiry
	}
	return c
}
