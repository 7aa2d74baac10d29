package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// CanceledError is the cause given to a claim that is canceled because its
// request is no longer wanted.
type CanceledError struct {
	// ID identifies the request.
	ID request.ID
}

// Error implements error.
func (e *CanceledError) Error() string {
	return "request " + e.ID.String() + " was canceled"
}
