package controller

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// processNews lists the processes of the system.
type processNews struct {
	members []spread.Member
}
