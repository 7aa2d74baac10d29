package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// allCallersGone reports that the last caller of a request has disconnected.
type allCallersGone struct {
	id request.ID
}

func (allCallersGone) isDispatchMessage() {}
