package controller

import "github.com/sycamorecourse/sycamorecourse/serving/spread"

// processUpdate is the current list of processes.
type processUpdate struct {
	members []spread.Member
}
