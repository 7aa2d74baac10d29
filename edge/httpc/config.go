package httpc

import "time"

// Config sets up a Client. The zero value of each field takes its default.
type Config struct {
	// Name names the duty and the ring.
	Name string
	// Capacity is the number of slots of the client's ring. Default 4096.
	Capacity int
	// Pollers is the number of threads that read connections. Default 1.
	Pollers int
	// Dialers is the number of threads that make connections. Default 2.
	Dialers int
	// ConnectTimeout bounds the making of a connection. Default 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout ends an unused connection. It should be shorter than the
	// server's own. Default 20 s.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections to one server. Default 64.
	MaxIdle int
}

func (c Config) withDefaults() Config {
	if c.Name == "" {
		c.Name = "http-client"
	}
	if c.Capacity <= 0 {
		c.Capacity = 4096
	}
	if c.Pollers <= 0 {
		c.Pollers = 1
	}
	if c.Dialers <= 0 {
		c.Dialers = 2
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = time.Second
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 20 * time.Second
	}
	if c.MaxIdle <= 0 {
		c.MaxIdle = 64
	}
	return c
}
