package controller

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// ordersSnapshot is the part of the fleet duty's state that the orders duty
// uses. It is immutable once sent.
type ordersSnapshot struct {
	grant         grant
	instances     []fleet.Instance
	configuration *intent.Configuration
}
