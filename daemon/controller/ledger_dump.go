package controller

import "github.com/sycamorecourse/sycamorecourse/serving/place"

// ledgerDump is the state of one pool.
type ledgerDump struct {
	// Pool names the pool, as MEMBER/POOL.
	Pool string `json:"pool"`
	// Version is that of the ledger's row.
	Version uint64 `json:"version"`
	// Holdings are the instances that are paid for.
	Holdings []place.Holding `json:"holdings"`
	// Target is the wanted placement.
	Target place.Target `json:"target"`
	// Unsettled is true while the outcome of a write is unknown.
	Unsettled bool `json:"unsettled"`
}
