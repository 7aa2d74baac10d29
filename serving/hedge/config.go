package hedge

import "time"

// Defaults of a Config.
const (
	// DefaultShare is the number of hedges per request.
	DefaultShare = 0.02
	// DefaultBurst is the number of hedges that may be sent in a row.
	DefaultBurst = 5.0
	// DefaultDelayFactor is the delay of a hedge as a multiple of the predicted
	// time to the first token.
	DefaultDelayFactor = 3.0
	// DefaultMinDelay is the shortest delay of a hedge.
	DefaultMinDelay = time.Second
)

// Config holds the parameters of a Budget. Zero fields have defaults.
type Config struct {
	// Share is the number of hedges per request; 0 means DefaultShare.
	Share float64
	// Burst is the largest number of unused hedges that are saved; 0 means
	// DefaultBurst.
	Burst float64
	// DelayFactor is the delay of a hedge as a multiple of the predicted time to the
	// first token; 0 means DefaultDelayFactor.
	DelayFactor float64
	// MinDelay is the shortest delay of a hedge; 0 means DefaultMinDelay.
	MinDelay time.Duration
	// Disabled turns hedging off.
	Disabled bool
}

func (c Config) withDefaults() Config {
	if c.Share <= 0 {
		c.Share = DefaultShare
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.DelayFactor <= 0 {
		c.DelayFactor = DefaultDelayFactor
	}
	if c.MinDelay <= 0 {
		c.MinDelay = DefaultMinDelay
	}
	return c
}
