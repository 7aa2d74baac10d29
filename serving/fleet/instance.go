package fleet

import "time"

// Instance is a machine of the cloud on which an upstream runs.
type Instance struct {
	// ID is the cloud's name of the instance, never used again.
	ID string `json:"id" cbor:"1,keyasint"`
	// Member names the member whose intent asked for it.
	Member string `json:"member" cbor:"2,keyasint"`
	// Pool names the pool of its upstream.
	Pool string `json:"pool" cbor:"3,keyasint"`
	// Address is the IP and port of its upstream.
	Address string `json:"address" cbor:"4,keyasint"`
	// Region holds the failure domain.
	Region string `json:"region" cbor:"5,keyasint"`
	// FailureDomain is what it can be lost together with.
	FailureDomain string `json:"failure_domain" cbor:"6,keyasint"`
	// MachineClass is the class of the machine.
	MachineClass string `json:"machine_class" cbor:"7,keyasint"`
	// Reclaimable instances can be taken at any moment.
	Reclaimable bool `json:"reclaimable" cbor:"8,keyasint"`
	// State is where the instance is in its life.
	State State `json:"state" cbor:"9,keyasint"`
	// Ends is the time by the wall clock at which a leaving instance ends; zero
	// while unknown.
	Ends time.Time `json:"ends" cbor:"10,keyasint"`
	// MicrosPerHour is the price, in millionths of the federation's currency.
	MicrosPerHour int64 `json:"micros_per_hour" cbor:"11,keyasint"`
}
