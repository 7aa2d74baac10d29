package table

import "time"

// Config sets up a Client. The zero value of each field but Address takes its
// default.
type Config struct {
	// Address is the IP and port of the table service.
	Address string
	// Table is the name of the table. Default sycamore.
	Table string
	// Timeout bounds each request. Default 2 s.
	Timeout time.Duration
	// PageItems bounds the rows in one page of a list. Default 500.
	PageItems int
	// MaxAnswerBytes bounds one answer. Default 4 MiB.
	MaxAnswerBytes int
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
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = 4 << 20
	}
	return c
}
