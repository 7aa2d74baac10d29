package weights

import "time"

// Config sets up a Client. The zero value of each field but Address takes its
// default.
type Config struct {
	// Address is the IP and port of the weight store.
	Address string
	// Timeout bounds each request. Default 10 min.
	Timeout time.Duration
	// MaxAnswerBytes bounds one answer. Default 1 MiB.
	MaxAnswerBytes int
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = 10 * time.Minute
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = 1 << 20
	}
	return c
}
