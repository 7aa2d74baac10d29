package objects

import "time"

// Config configures a Client. Address is required; the zero value of every other
// field selects its default.
type Config struct {
	// Address is the IP and port of the object store.
	Address string
	// Bucket is the name of the bucket. Default sycamore.
	Bucket string
	// Timeout is the time limit of each request. Default 5 s.
	Timeout time.Duration
	// PageKeys is the maximum number of keys in one page of a list. Default 1000.
	PageKeys int
	// MaxResponseBytes is the maximum size of a response body. Default 16 MiB.
	MaxResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.Bucket == "" {
		c.Bucket = "sycamore"
	}
	if c.Timeout <= 0 {
		c.Timeout = 5 * time.Second
	}
	if c.PageKeys <= 0 {
		c.PageKeys = 1000
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = 16 << 20
	}
	return c
}
