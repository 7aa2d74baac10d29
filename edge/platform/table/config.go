package table

import "time"

// Config configures a Client. Address is required; the zero value of every other
// field selects its default.
type Config struct {
	// Address is the IP and port of the table service.
	Address string
	// Table is the name of the table. Default sycamore.
	Table string
	// Timeout is the time limit of each request. Default 2 s.
	Timeout time.Duration
	// PageItems is the maximum number of rows in one page of a list. Default 500.
	PageItems int
	// MaxResponseBytes is the maximum size of a response body. Default 4 MiB.
	MaxResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.Table == "" {
		c.Table = "sycamore"
	}
	if c.Timeout <= 0 {
		c.Timeout = 2 * time.Second
	}
	if c.PageItems <= 0 {
		c.PageItems = 500
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = 4 << 20
	}
	return c
}
