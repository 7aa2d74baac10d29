package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/request"

// Ref names one stream of an attempt of a request. What belongs to a stream that
// is no longer the current one is dropped.
type Ref struct {
	// ID names the request.
	ID request.ID
	// Number counts the attempts from 1.
	Number int
	// Stream counts the connections over which the attempt was followed, from 0.
	Stream int
}
