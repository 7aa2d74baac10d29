package cloud

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// InstanceList is the answer to GET /v1/instances.
type InstanceList struct {
	// Instances are those that were live or leaving, in the order of their ids.
	Instances []fleet.Instance `json:"instances"`
}
