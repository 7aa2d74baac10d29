package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// CanceledError is the cause when a request was given up.
type CanceledError struct {
	// ID names the request.
	ID request.ID
}

// Error implements error.
func (e *CanceledError) Error() string {
	return "request " + e.ID.String() + " was given up"
}
