package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// probeMessage replaces the instances that are probed for their load.
type probeMessage struct {
	targets []fleet.Instance
}
