package controller

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// ledgerDump is the state dump of one pool.
type ledgerDump struct {
	// Pool is the name of the pool, as MEMBER/POOL.
	Pool string `json:"pool"`
	// Version is the version of the ledger's row.
	Version uint64 `json:"version"`
	// Holdings are the instances that are paid for.
	Holdings []place.Holding `json:"holdings"`
	// Target is the target placement.
	Target place.Target `json:"target"`
	// Unsettled is true while a write is in flight or its outcome is unknown.
	Unsettled bool `json:"unsettled"`
}
