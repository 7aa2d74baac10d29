package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Note is an event for the log and the metrics.
type Note struct {
	// Event is the name of the event.
	Event NoteEvent
	// ID names the request.
	ID request.ID
	// Upstream names the instance concerned; empty for none.
	Upstream string
	// Attempt is the number of the attempt; 0 for none.
	Attempt int
	// Detail says more.
	Detail string
}

func (Note) isAction() {}
