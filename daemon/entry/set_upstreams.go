package entry

import "github.com/sycamorecourse/sycamorecourse/serving/catalog"

// setUpstreams replaces the upstreams that may get requests.
type setUpstreams struct {
	list []*catalog.Upstream
}

func (setUpstreams) isDispatchMessage() {}
