package service

import "time"

// Config configures a Service.
type Config struct {
	// Name is the name of the thread; empty means service.
	Name string
	// Address is the IP and port to listen on; port 0 means any free port.
	Address string
	// Latency is the time between a run and its response.
	Latency time.Duration
}
