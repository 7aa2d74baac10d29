package fetch

import "github.com/sycamorecourse/sycamorecourse/edge/platform/collect"

// outcome is the end of a call.
type outcome struct {
	answer collect.Response
	err    error
}
