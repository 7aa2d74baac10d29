package cloud

import "github.com/sycamorecourse/sycamorecourse/serving/fleet"

// instanceList is the body of the list of instances.
type instanceList struct {
	Instances []fleet.Instance `json:"instances"`
}
