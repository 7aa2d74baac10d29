package operator

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// PoolStatus counts the instances of a pool.
type PoolStatus struct {
	// Member is the member that the pool belongs to.
	Member string `json:"member"`
	// Pool is the name of the pool.
	Pool string `json:"pool"`
	// Desired is the number of instances that the placement calls for.
	Desired int `json:"wanted"`
	// Starting is the number of instances that don't accept requests yet.
	Starting int `json:"starting"`
	// Live is the number of instances that accept requests.
	Live int `json:"live"`
	// Leaving is the number of instances that no longer accept new requests.
	Leaving int `json:"leaving"`
	// MicrosPerHour is the price of all these instances.
	MicrosPerHour intent.Micros `json:"micros_per_hour"`
}
