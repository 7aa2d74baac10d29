package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Ref names one attempt of a request. What belongs to an attempt that is no
// longer the current one is dropped.
type Ref struct {
	// ID names the request.
	ID request.ID
	// Number counts the attempts from 1.
	Number int
}
