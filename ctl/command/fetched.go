package command

import "github.com/sycamorecourse/sycamorecourse/edge/platform/collect"

// fetched is the outcome of a call.
type fetched struct {
	answer collect.Answer
	err    error
}
