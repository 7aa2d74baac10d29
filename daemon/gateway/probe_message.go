package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// probeMessage changes the instances that are asked for their load.
type probeMessage struct {
	upserts []fleet.Instance
	removed []string
}
