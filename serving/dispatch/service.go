package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// service is a plain service and the pool that serves it.
type service struct {
	intent.Service
	target target
}
