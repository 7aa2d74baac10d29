package entry

import "github.com/sycamorecourse/sycamorecourse/serving/catalog"

// setFleet replaces the configuration and the list of upstreams that the planner
// works with.
type setFleet struct {
	catalog   *catalog.Catalog
	upstreams []*catalog.Upstream
}

func (setFleet) isClusterMessage() {}
