package controller

import (
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// fleetSnapshot is the state of the fleet duty for the planner. It is immutable
// once sent.
type fleetSnapshot struct {
	// version is the version of the configuration that the duty applies.
	version   uint64
	instances []fleet.Instance
	prices    price.List
	pools     []operator.PoolStatus
	leases    []operator.LeaseStatus
}
