package world

import "time"

// Config sets up a World.
type Config struct {
	// Program is the path of sycamored.
	Program string
	// Directory takes the settings files and the logs.
	Directory string
	// Seed makes the loopback addresses of worlds that run at the same time differ.
	Seed uint64
	// Gateways and Upstreams are the numbers of each; upstreams are of each of the
	// two services.
	Gateways, Upstreams int
	// Rate and Burst limit the requests of the customer per second; 0 is no limit.
	Rate, Burst float64
	// EventPause is the time between two events of a stream, or before another answer,
	// and StreamTimeout the timeout of streams; 0 takes the usual ones.
	EventPause, StreamTimeout time.Duration
	// Grace is the time from SIGTERM until the platform kills a process; 0 takes the usual
	// one.
	Grace time.Duration
	// TellsStart is whether the entries of upstreams tell when they have started.
	TellsStart bool
	// TellsEra is whether the store tells in all answers how often it was restored.
	TellsEra bool
}

func (c Config) withDefaults() Config {
	if c.EventPause == 0 {
		c.EventPause = eventPause
	}
	if c.Grace == 0 {
		c.Grace = Grace
	}
	if c.StreamTimeout == 0 {
		c.StreamTimeout = routeTimeout
	}
	return c
}
