package cloud

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// Starter starts what runs on an instance. It does not block.
type Starter interface {
	// Start starts the upstream of an instance, whose address is not yet set.
	Start(instance fleet.Instance) (Upstream, error)
}
