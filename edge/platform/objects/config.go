package objects

import "time"

// Config sets up a Client. The zero value of each field but Address takes its
// default.
type Config struct {
	// Address is the IP and port of the object store.
	Address string
	// Bucket is the name of the bucket. Default sycamore.
	Bucket string
	// Timeout bounds each request. Default 5 s.
	Timeout time.Duration
	// PageKeys bounds the keys in one page of a list. Default 1000.
	PageKeys int
	// MaxAnswerBytes bounds one answer. Default 16 MiB.
	MaxAnswerBytes int
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
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = 16 << 20
	}
	return c
}
