package weights

import "time"

// Config configures a Client. Address is required; the zero value of every other
// field selects its default.
type Config struct {
	// Address is the IP and port of the weight store.
	Address string
	// Timeout is the time limit of each request. Default 10 min.
	Timeout time.Duration
	// MaxResponseBytes is the maximum size of a response body. Default 1 MiB.
	MaxResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = 10 * time.Minute
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = 1 << 20
	}
	return c
}
