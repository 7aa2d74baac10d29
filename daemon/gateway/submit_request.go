package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// submitRequest starts an authenticated request.
type submitRequest struct {
	arrival dispatch.Arrival
}

func (submitRequest) isDispatchMessage() {}
