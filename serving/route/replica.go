package route

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// Replica is an upstream that requests can be routed to.
type Replica struct {
	// ID names the instance on which it runs.
	ID string
	// Pool names the group of like upstreams that it belongs to.
	Pool string
	// Model names the model that it serves; empty for a plain service.
	Model string
	// Address is its IP and port.
	Address string
	// FailureDomain is what it can be lost together with.
	FailureDomain string
	// MachineClass is the class of its machine.
	MachineClass string
	// MicrosPerHour is the price of its instance, in millionths of the currency.
	MicrosPerHour int64
	// Reclaimable instances can be taken at any moment.
	Reclaimable bool
	// MaxConcurrent bounds the requests in progress at it, over all gateways;
	// 0 is no bound.
	MaxConcurrent int
	// State is where its instance is in its life. Only live replicas are chosen.
	State fleet.State
}
