package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Redirect sends the callers of a request to the gateway that has taken it over,
// and deletes its answer here.
type Redirect struct {
	// ID identifies the request.
	ID request.ID
	// Address is the public address of the other gateway.
	Address string
}

func (Redirect) isAction() {}
