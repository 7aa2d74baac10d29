package cloud

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// instanceList is the response to a request for the instances.
type instanceList struct {
	Instances []fleet.Instance `json:"instances"`
}
