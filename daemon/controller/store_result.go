package controller

import "github.com/sycamorecourse/sycamorecourse/serving/plan"

// storeResult is the answer to a storeRequest, or a head that was seen when no
// request asked; its ticket is then 0.
type storeResult struct {
	kind    storeKind
	ticket  uint64
	head    *plan.Head
	record  *plan.Record
	records []plan.Record
	err     error
}
