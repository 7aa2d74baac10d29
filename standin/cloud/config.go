package cloud

import "time"

// Config configures a Cloud.
type Config struct {
	// Address is the IP and port to listen on; port 0 takes any free port.
	Address string
	// Offers are the kinds of instances that can be started.
	Offers []Offer
	// Starter starts the upstream of an instance.
	Starter Starter
	// BootTime is the time that a started instance takes to become live.
	BootTime time.Duration
	// ListLag is the age of the instance list.
	ListLag time.Duration
	// CallsPerSecond limits the rate of API calls; 0 is no limit. Calls below
	// /standin/ don't count.
	CallsPerSecond float64
}
