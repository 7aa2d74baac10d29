package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Forget drops the answer of a request that ended.
type Forget struct {
	// ID names the request.
	ID request.ID
}

func (Forget) isAction() {}
