package cloud

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// Starter starts the upstream of an instance.
type Starter interface {
	// Start starts the upstream without blocking. The address of the instance
	// is not set yet; the upstream provides it.
	Start(instance fleet.Instance) (Upstream, error)
}
