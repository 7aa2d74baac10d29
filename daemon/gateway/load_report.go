package gateway

import "github.com/sycamorecourse/sycamorecourse/serving/route"

// loadReport is the load that an upstream reports.
type loadReport struct {
	instance string
	load     route.Load
}

func (loadReport) isDispatchMessage() {}
