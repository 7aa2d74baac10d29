package controller

import "github.com/sycamorecourse/sycamorecourse/serving/plan"

// storeResult is the result of a storeRequest, or a newer head that the store
// duty found by itself; its request ID is then 0.
type storeResult struct {
	kind      storeKind
	requestID uint64
	head      *plan.Head
	record    *plan.Record
	records   []plan.Record
	err       error
}
