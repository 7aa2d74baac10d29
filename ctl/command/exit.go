package command

import (
	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// The exit statuses in addition to those of the subcommands package, which are
// 0 for success, 1 for failure and 2 for wrong usage.
const (
	// ExitConflict means that a plan can't be confirmed as it is, or that a request
	// was rejected and has not run.
	ExitConflict subcommands.ExitStatus = 3
	// ExitUnreachable means that no controller, gateway or dumped process
	// answered, that the table service is unavailable, or that the outcome of a
	// confirmation is unknown.
	ExitUnreachable subcommands.ExitStatus = 4
	// ExitPending means that a plan is confirmed, but some live process has not
	// reported that it applied it.
	ExitPending subcommands.ExitStatus = 5
)

// exitStatusOf returns the exit status for an error, which may be nil.
func exitStatusOf(err error) subcommands.ExitStatus {
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
