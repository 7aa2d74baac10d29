package controller

import "github.com/sycamorecourse/sycamorecourse/edge/operator"

// processNews lists the live processes and the versions they reported.
type processNews struct {
	processes []operator.Process
}
