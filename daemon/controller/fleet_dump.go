package controller

import (
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// fleetDump is the state of the fleet duty.
type fleetDump struct {
	// Version is the configuration that is carried out.
	Version uint64 `json:"version"`
	// Listed is true once the instance list was read.
	Listed bool `json:"listed"`
	// Prices is the number of known offers.
	Prices int `json:"prices"`
	// Leases says who holds the fleet lease.
	Leases []operator.LeaseStatus `json:"leases"`
	// Instances are all that are known.
	Instances []fleet.Instance `json:"instances"`
	// Ledgers are those of the pools; empty without the lease.
	Ledgers []ledgerDump `json:"ledgers"`
}
