package engine

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/dispatch"
)

// failureOf says what a failed call means for the attempt.
func failureOf(err error) dispatch.Failure {
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
