package health

import "time"

// Defaults of a zero Config.
const (
	// DefaultMaxEjectedShare is the share of a group that may be ejected.
	DefaultMaxEjectedShare = 0.5
	// DefaultEjection is how long a first ejection lasts.
	DefaultEjection = 5 * time.Second
	// DefaultMaxEjection bounds an ejection.
	DefaultMaxEjection = 60 * time.Second
	// DefaultRamp is the time over which a replica that returns gets its full
	// part again.
	DefaultRamp = 10 * time.Second
)

// Config holds the parameters of a Group. The zero value works.
type Config struct {
	// MaxEjectedShare is the share of the group that may be ejected at once; 0
	// means DefaultMaxEjectedShare.
	MaxEjectedShare float64
	// Ejection is how long a first ejection lasts; each one that follows soon
	// lasts twice as long. 0 means DefaultEjection.
	Ejection time.Duration
	// MaxEjection bounds an ejection; 0 means DefaultMaxEjection.
	MaxEjection time.Duration
	// Ramp is the time of the slow return; 0 means DefaultRamp.
	Ramp time.Duration
	// Disabled groups eject nothing.
	Disabled bool
}

func (c Config) withDefaults() Config {
	if c.MaxEjectedShare <= 0 {
		c.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if c.Ejection <= 0 {
		c.Ejection = DefaultEjection
	}
	if c.MaxEjection <= 0 {
		c.MaxEjection = DefaultMaxEjection
	}
	if c.Ramp <= 0 {
		c.Ramp = DefaultRamp
	}
	return c
}
