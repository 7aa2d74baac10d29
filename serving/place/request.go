package place

import (
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Request asks for the placement of a pool.
type Request struct {
	// Pool is the pool as confirmed.
	Pool *intent.Pool
	// Prices are the offers of the cloud.
	Prices price.List
	// Held counts the instances that run now, by option. They are kept unless
	// another option is cheaper by more than the hysteresis.
	Held map[Option]int
	// Refused holds the options that can't be started now. Those held are kept.
	Refused map[Option]bool
	// Policy weighs cost against the loss of a failure domain; the zero value
	// is replaced by DefaultPolicy.
	Policy Policy
}
