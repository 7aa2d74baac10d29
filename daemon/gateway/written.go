package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// written is the result of a transaction.
type written struct {
	id     request.ID
	serial uint64
	err    error
}

func (written) isDispatchMessage() {}
