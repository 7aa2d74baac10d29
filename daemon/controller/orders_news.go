package controller

import (
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// ordersNews is what the orders duty needs to know of the fleet. It is not
// changed once sent.
type ordersNews struct {
	grant         grant
	instances     []fleet.Instance
	configuration *intent.Configuration
}
