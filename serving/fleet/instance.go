package fleet

import "time"

// Instance is a machine of the cloud on which an upstream runs.
type Instance struct {
	// ID is the cloud's name of the instance. It is never reused.
	ID string `json:"id" cbor:"1,keyasint"`
	// Member names the federation member whose intent requested the instance.
	Member string `json:"member" cbor:"2,keyasint"`
	// Pool names the pool of the upstream.
	Pool string `json:"pool" cbor:"3,keyasint"`
	// Address is the IP address and port of the upstream.
	Address string `json:"address" cbor:"4,keyasint"`
	// Region is the region of the failure domain.
	Region string `json:"region" cbor:"5,keyasint"`
	// FailureDomain names the group of instances that can fail together with this
	// one.
	FailureDomain string `json:"failure_domain" cbor:"6,keyasint"`
	// MachineClass names the cloud's class of the machine.
	MachineClass string `json:"machine_class" cbor:"7,keyasint"`
	// Reclaimable reports that the cloud can take the instance back at any time.
	Reclaimable bool `json:"reclaimable" cbor:"8,keyasint"`
	// State is the state in the life cycle.
	State State `json:"state" cbor:"9,keyasint"`
	// Ends is the wall-clock time at which a leaving instance ends; zero if unknown.
	Ends time.Time `json:"ends" cbor:"10,keyasint"`
	// MicrosPerHour is the price per hour, in millionths of the federation's
	// currency.
	MicrosPerHour int64 `json:"micros_per_hour" cbor:"11,keyasint"`
}
