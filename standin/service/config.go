package service

import "time"

// Config sets up a Service.
type Config struct {
	// Name names the duty; empty is service.
	Name string
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Latency is the time from a run to its answer.
	Latency time.Duration
}
