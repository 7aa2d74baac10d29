package place

import (
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// Request is the input of Choose.
type Request struct {
	// Pool describes the pool to place.
	Pool *intent.Pool
	// Prices are the offers of the cloud.
	Prices price.List
	// Current counts the starting and live instances by option. They are kept
	// unless another option is cheaper by more than the hysteresis.
	Current map[Option]int
	// Unavailable holds the options of which no instance can be started now. The
	// current instances of such an option may be kept.
	Unavailable map[Option]bool
	// Policy weighs cost against the loss of a failure domain; the zero value
	// is replaced by DefaultPolicy.
	Policy Policy
}
