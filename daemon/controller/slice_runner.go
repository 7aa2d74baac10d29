package controller

import "github.com/sycamorecourse/sycamorecourse/coord/quota"

// sliceRunner acquires and renews a slice of a budget.
type sliceRunner struct {
	*stepRunner
	slice *quota.Allocation
}
