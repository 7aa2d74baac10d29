package route

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// Replica is an upstream that requests can be routed to.
type Replica struct {
	// ID is the ID of the instance that it runs on.
	ID string
	// Pool is the pool of interchangeable upstreams that it belongs to.
	Pool string
	// Model is the model that it serves; empty for a plain service.
	Model string
	// Address is its IP and port.
	Address string
	// FailureDomain is the failure domain of the instance.
	FailureDomain string
	// MachineClass is the machine class of the instance.
	MachineClass string
	// MicrosPerHour is the price of the instance per hour, in millionths of the
	// currency.
	MicrosPerHour int64
	// Reclaimable is true if the cloud may reclaim the instance at any time.
	Reclaimable bool
	// MaxConcurrent limits the requests in progress, from all gateways; 0 means
	// no limit.
	MaxConcurrent int
	// State is the lifecycle state of the instance. Only live replicas are
	// chosen.
	State fleet.State
}
