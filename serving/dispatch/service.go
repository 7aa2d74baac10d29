package dispatch

import "github.com/sycamorecourse/sycamorecourse/serving/intent"

// service is a configured plain service and the target of its calls.
type service struct {
	intent.Service
	target target
}
