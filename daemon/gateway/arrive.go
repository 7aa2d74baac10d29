package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/dispatch"

// arrive is an authenticated request.
type arrive struct {
	arrival dispatch.Arrival
}

func (arrive) isDispatchMessage() {}
