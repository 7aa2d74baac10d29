package controller

import (
	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// fleetDump is the state dump of the fleet duty.
type fleetDump struct {
	// Version is the version of the configuration being applied.
	Version uint64 `json:"version"`
	// Listed is true once the instance list has been read.
	Listed bool `json:"listed"`
	// Prices is the number of known offers.
	Prices int `json:"prices"`
	// Leases is the status of the fleet lease.
	Leases []operator.LeaseStatus `json:"leases"`
	// Instances are all known instances.
	Instances []fleet.Instance `json:"instances"`
	// Ledgers are the ledgers of the pools as last read or written under the
	// lease; empty if this process has never held it.
	Ledgers []ledgerDump `json:"ledgers"`
}
