package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// detached says that the last caller of a request is gone.
type detached struct {
	id request.ID
}

func (detached) isDispatchMessage() {}
