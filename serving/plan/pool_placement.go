package plan

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// PoolPlacement is the wanted placement of one pool.
type PoolPlacement struct {
	// Pool names the pool.
	Pool string `json:"pool"`
	place.Target
}
