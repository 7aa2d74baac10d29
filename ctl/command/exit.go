package command

import (
	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// The exit statuses beside those of the library: 0 success, 1 failure, 2 usage.
const (
	// ExitConflict is a plan that can't be confirmed as it is.
	ExitConflict subcommands.ExitStatus = 3
	// ExitUnreachable is no answer from any controller.
	ExitUnreachable subcommands.ExitStatus = 4
	// ExitPending is a confirmed plan that some process has not reported yet.
	ExitPending subcommands.ExitStatus = 5
)

// exitOf returns the exit status of a failure.
func exitOf(err error) subcommands.ExitStatus {
	var (
		unreachable *operator.UnreachableError
		problem     *operator.Problem
		invalid     *settings.InvalidError
		usage       *UsageError
	)
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &usage), errors.As(err, &invalid):
		return subcommands.ExitUsageError
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &problem) && problem.IsConflict():
		return ExitConflict
	case errors.As(err, &problem) && problem.IsRetryable():
		return ExitUnreachable
	default:
		return subcommands.ExitFailure
	}
}
