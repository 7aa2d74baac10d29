package httpd

import "time"

// Config configures a Server. A zero field takes its default, except for Address,
// which is required.
type Config struct {
	// Address is the IP and port to listen on; port 0 chooses a free port.
	Address string
	// ExtraAddresses are further addresses to listen on. Exchange.Local tells on
	// which one a request arrived.
	ExtraAddresses []string
	// Pollers is the number of threads that read connections. Default 2.
	Pollers int
	// MaxBodyBytes bounds the body of a request. Default 4 MiB.
	MaxBodyBytes int
	// MaxHeaderBytes bounds the request line with the header, and a trailer. Default
	// 64 KiB.
	MaxHeaderBytes int
	// MaxWriteBytes bounds the unsent bytes of one connection. The connection of
	// a client that reads too slowly to stay below it is closed. Default 4 MiB.
	MaxWriteBytes int
	// MaxConnections bounds the open connections. Default 16384.
	MaxConnections int
	// IdleTimeout is how long a connection may stay open without a complete
	// request. Default 60 s.
	IdleTimeout time.Duration
	// OnMalformed is called when the bytes of a client are not a valid HTTP
	// request; the client gets a response. It runs on a poller and must not block. It may be nil.
	OnMalformed func(*MalformedError)
}

func (c Config) withDefaults() Config {
	if c.Pollers <= 0 {
		c.Pollers = 2
	}
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = 4 << 20
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = 64 << 10
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
