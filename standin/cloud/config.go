package cloud

import "time"

// Config sets up a Cloud.
type Config struct {
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Offers are the kinds of instances that can be started.
	Offers []Offer
	// Starter starts what runs on an instance.
	Starter Starter
	// BootTime is the time from the start of an instance until it is live.
	BootTime time.Duration
	// ListLag is how old the list of instances is.
	ListLag time.Duration
	// CallsPerSecond limits the calls; 0 is no limit.
	CallsPerSecond float64
}
