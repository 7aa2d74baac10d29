package entry

import (
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// tallied is what dispatch has counted since the last time.
type tallied struct {
	counts map[int64]usage.Counts
	demand map[string]float64
	loads  map[string]scale.Load
}

func (tallied) isClusterMessage() {}
