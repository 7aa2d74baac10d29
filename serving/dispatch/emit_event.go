package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// EmitEvent logs and counts an event of a request.
type EmitEvent struct {
	// Event is the name of the event.
	Event Event
	// ID identifies the request.
	ID request.ID
	// Upstream names the instance concerned; empty for none.
	Upstream string
	// Attempt is the number of the attempt; 0 for none.
	Attempt int
	// Detail adds details for the log.
	Detail string
}

func (EmitEvent) isAction() {}
