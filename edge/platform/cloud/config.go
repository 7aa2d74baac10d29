package cloud

import "time"

// Config sets up a Client. The zero value of each field but Address takes its
// default.
type Config struct {
	// Address is the IP and port of the cloud API.
	Address string
	// Timeout bounds each request; a wait for notices comes on top. Default
	// 5 s.
	Timeout time.Duration
	// MaxAnswerBytes bounds one answer. Default 8 MiB.
	MaxAnswerBytes int
}

func (c Config) withDefaults() Config {
	if c.Timeout <= 0 {
		c.Timeout = 5 * time.Second
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = 8 << 20
	}
	return c
}
