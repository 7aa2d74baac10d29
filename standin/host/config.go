package host

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// inboxCapacity is the number of events that may wait for the duty.
const inboxCapacity = 8192

// pollers is the number of threads that read the connections of a stand-in.
const pollers = 1

// Config sets up a Host.
type Config struct {
	// Name names the duty and the ring.
	Name string
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// MaxBodyBytes bounds the body of a request; 0 takes the default of the
	// server.
	MaxBodyBytes int
	// Clock is the clock of the timers; nil is the system's.
	Clock clock.Clock
}
