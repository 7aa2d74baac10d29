package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// HandOver gives a request to another gateway, whose answer goes to
// Core.HandedOver.
type HandOver struct {
	// ID names the request.
	ID request.ID
	// Handoff is the request.
	Handoff Handoff
}

func (HandOver) isAction() {}
