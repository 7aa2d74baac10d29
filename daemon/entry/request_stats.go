package entry

import (
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// requestStats holds the usage counts since the previous message, by usage window,
// the current demand of each customer and the load of each service.
type requestStats struct {
	counts map[int64]usage.Counts
	demand map[string]float64
	loads  map[string]scale.Load
}

func (requestStats) isClusterMessage() {}
