package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Forget deletes the kept answer of a request that has ended.
type Forget struct {
	// ID identifies the request.
	ID request.ID
}

func (Forget) isAction() {}
