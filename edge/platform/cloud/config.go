package cloud

import "time"

// Config configures a Client. Address is required; the zero value of every other
// field selects its default.
type Config struct {
	// Address is the IP and port of the cloud API.
	Address string
	// Timeout is the time limit of each request. The wait for notices is added to
	// it. Default 5 s.
	Timeout time.Duration
	// MaxResponseBytes is the maximum size of a response body. Default 8 MiB.
	MaxResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = 5 * time.Second
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = 8 << 20
	}
	return c
}
