package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/route"

// loadReport is what an upstream reports about itself.
type loadReport struct {
	instance string
	load     route.Load
}

func (loadReport) isDispatchMessage() {}
