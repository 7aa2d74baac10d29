package engine

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// failureFromError classifies the error of a call. Only an *httpc.NotSentError
// proves that the request did not run.
func failureFromError(err error) dispatch.Failure {
	var notSent *httpc.NotSentError
	var late *httpc.TimeoutError
	failure := dispatch.Failure{Kind: dispatch.Broken, Detail: err.Error()}
	switch {
	case errors.As(err, &notSent):
		failure.Kind = dispatch.NotSent
	case errors.As(err, &late):
		failure.Kind = dispatch.TimedOut
	}
	return failure
}
