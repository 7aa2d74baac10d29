package command

import "github.com/sycamorecourse/sycamorecourse/edge/platform/collect"

// fetchResult is the answer to the call of a dump, or its error.
type fetchResult struct {
	answer collect.Response
	err    error
}
