package health

import "time"

// Defaults of a zero Config.
const (
	// DefaultMaxEjectedShare is the default of Config.MaxEjectedShare.
	DefaultMaxEjectedShare = 0.5
	// DefaultBaseEjectionTime is the default of Config.BaseEjectionTime.
	DefaultBaseEjectionTime = 5 * time.Second
	// DefaultMaxEjectionTime is the default of Config.MaxEjectionTime.
	DefaultMaxEjectionTime = 60 * time.Second
	// DefaultSlowStart is the default of Config.SlowStart.
	DefaultSlowStart = 10 * time.Second
)

// Config holds the parameters of a Group. The zero value works.
type Config struct {
	// MaxEjectedShare is the largest share of the group that may be ejected at
	// once; 0 means DefaultMaxEjectedShare.
	MaxEjectedShare float64
	// BaseEjectionTime is how long the first ejection of a replica lasts. The
	// time doubles with each further ejection, and starts over if the last one
	// ended more than MaxEjectionTime ago. 0 means DefaultBaseEjectionTime.
	BaseEjectionTime time.Duration
	// MaxEjectionTime is the longest time that an ejection lasts; 0 means
	// DefaultMaxEjectionTime.
	MaxEjectionTime time.Duration
	// SlowStart is the time over which the weight of a replica rises to 1 after
	// an ejection; 0 means DefaultSlowStart.
	SlowStart time.Duration
	// Disabled turns ejection off.
	Disabled bool
}

func (c Config) withDefaults() Config {
	if c.MaxEjectedShare <= 0 {
		c.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if c.BaseEjectionTime <= 0 {
		c.BaseEjectionTime = DefaultBaseEjectionTime
	}
	if c.MaxEjectionTime <= 0 {
		c.MaxEjectionTime = DefaultMaxEjectionTime
	}
	if c.SlowStart <= 0 {
		c.SlowStart = DefaultSlowStart
	}
	return c
}
