package entry

import "github.com/sycamorecourse/sycamorecourse/serving/catalog"

// setFleet is the configuration and all upstreams, for the duty of ordering.
type setFleet struct {
	catalog   *catalog.Catalog
	upstreams []*catalog.Upstream
}

func (setFleet) isClusterMessage() {}
