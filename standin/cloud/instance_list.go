package cloud

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// InstanceList is the response to GET /v1/instances and GET /standin/instances.
type InstanceList struct {
	// Instances are sorted by ID. GET /v1/instances lists those that were live
	// or leaving before the list lag; GET /standin/instances lists all,
	// including starting and gone ones, without lag.
	Instances []fleet.Instance `json:"instances"`
}
