package controller

import (
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/price"
)

// fleetNews is what the fleet duty knows. It is not changed once sent.
type fleetNews struct {
	// version is that of the configuration that the duty carries out.
	version   uint64
	instances []fleet.Instance
	prices    price.List
	pools     []operator.PoolStatus
	leases    []operator.LeaseStatus
}
