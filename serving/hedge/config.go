package hedge

import "time"

// Defaults of a zero Config.
const (
	// DefaultShare is the number of hedges for each request.
	DefaultShare = 0.02
	// DefaultBurst is the number of hedges that may be sent at once.
	DefaultBurst = 5.0
	// DefaultLateness is how often the predicted time has to have passed.
	DefaultLateness = 3.0
	// DefaultMinDelay is the least time before a hedge.
	DefaultMinDelay = time.Second
)

// Config holds the parameters of a Budget. The zero value works.
type Config struct {
	// Share is the number of hedges for each request; 0 means DefaultShare.
	Share float64
	// Burst bounds the hedges saved up; 0 means DefaultBurst.
	Burst float64
	// Lateness is how often the predicted time to the first token has to have
	// passed; 0 means DefaultLateness.
	Lateness float64
	// MinDelay is the least time before a hedge; 0 means DefaultMinDelay.
	MinDelay time.Duration
	// Disabled budgets allow no hedge.
	Disabled bool
}

func (c Config) withDefaults() Config {
	if c.Share <= 0 {
		c.Share = DefaultShare
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.Lateness <= 0 {
		c.Lateness = DefaultLateness
	}
	if c.MinDelay <= 0 {
		c.MinDelay = DefaultMinDelay
	}
	return c
}
