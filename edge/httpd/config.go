package httpd

import "time"

// Config sets up a Server. The zero value of each field but Address takes its
// default.
type Config struct {
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Also holds further addresses to listen on. Exchange.Local tells them apart.
	Also []string
	// Pollers is the number of threads that read connections. Default 2.
	Pollers int
	// MaxBodyBytes bounds the body of a request. Default 4 MiB.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the head of a request. Default 32 KiB.
	MaxHeaderBytes int
	// MaxWriteBytes bounds what waits to be sent on one connection; a caller
	// that falls further behind is cut off. Default 4 MiB.
	MaxWriteBytes int
	// MaxConnections bounds the open connections. Default 16384.
	MaxConnections int
	// IdleTimeout ends a connection that sends no whole request for this long.
	// Default 60 s.
	IdleTimeout time.Duration
	// Malformed is told of bytes that are no HTTP, on a thread of the network
	// library: it must not block. Nil tells nobody.
	Malformed func(*MalformedError)
}

func (c Config) withDefaults() Config {
	if c.Pollers <= 0 {
		c.Pollers = 2
	}
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = 4 << 20
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = 32 << 10
	}
	if c.MaxWriteBytes <= 0 {
		c.MaxWriteBytes = 4 << 20
	}
	if c.MaxConnections <= 0 {
		c.MaxConnections = 16384
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 60 * time.Second
	}
	return c
}
