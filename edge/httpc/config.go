package httpc

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/edge/bytelimit"
)

// Config configures a Client. A zero field takes its default.
type Config struct {
	// Name is the name of the ring and the prefix of the names of the dialer
	// threads. Default "http-client".
	Name string
	// Capacity is the capacity of the ring that queues calls and internal
	// events. Default 4096.
	Capacity int
	// Pollers is the number of threads that read connections. Default 1.
	Pollers int
	// Dialers is the number of threads that establish connections. Default 2.
	Dialers int
	// ConnectTimeout bounds the time to establish a connection, including the
	// wait for a dialer. Default 1 s.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It should be shorter
	// than the idle timeout of the server. Default 20 s.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to one address. Default 64.
	MaxIdle int
	// Budget bounds what all connections together keep of responses that are not parsed
	// yet; nil is no limit. A response that would exceed it fails.
	Budget *bytelimit.Budget
	// OnUnsolicited is called with the address of a server that sent bytes which belong
	// to no request, and whose connection is closed for that. It is called on a poller
	// and must not block; nil is allowed.
	OnUnsolicited func(address string)
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
