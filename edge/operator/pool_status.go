package operator

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// PoolStatus counts the instances of a pool.
type PoolStatus struct {
	// Member names the member.
	Member string `json:"member"`
	// Pool names the pool.
	Pool string `json:"pool"`
	// Wanted is the number of instances of the placement.
	Wanted int `json:"wanted"`
	// Starting is the number of instances that take no work yet.
	Starting int `json:"starting"`
	// Live is the number of instances that take work.
	Live int `json:"live"`
	// Leaving is the number of instances that take no new work.
	Leaving int `json:"leaving"`
	// MicrosPerHour is the price of all of them.
	MicrosPerHour intent.Micros `json:"micros_per_hour"`
}
