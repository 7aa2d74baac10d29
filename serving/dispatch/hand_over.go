package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// HandOver offers a request to another gateway. The owner reports the reply, or
// the lack of one, to Core.HandedOver.
type HandOver struct {
	// ID identifies the request.
	ID request.ID
	// Handoff is the state of the request.
	Handoff Handoff
}

func (HandOver) isAction() {}
