package entry

import "github.com/sycamorecourse/sycamorecourse/serving/usage"

// tallied is what dispatch has counted since the last time.
type tallied struct {
	counts map[int64]usage.Counts
	demand map[string]float64
}

func (tallied) isClusterMessage() {}
