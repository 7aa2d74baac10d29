package controller

import "github.com/sycamorecourse/sycamorecourse/coord/quota"

// heldSlice is a slice of an agreed amount with the runner of its steps.
type heldSlice struct {
	*stepRunner
	slice *quota.Allocation
}
