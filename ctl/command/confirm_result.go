package command

import (
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
)

// confirmResult prints a confirmation and the processes that have not applied it
// yet.
type confirmResult struct {
	confirmed *operator.ConfirmResult
}

func (r *confirmResult) jsonValue() any { return r.confirmed }

func (r *confirmResult) exitStatus() subcommands.ExitStatus {
	if !r.confirmed.AllReported {
		return ExitPending
	}
	return subcommands.ExitSuccess
}

func (r *confirmResult) writeText(out io.Writer) error {
	c := r.confirmed
	_, err := fmt.Fprintf(out, "version %d is confirmed: plan %s, by %s at %s\n", c.Version, c.Plan, c.By, c.At.Format(time.RFC3339))
	if err != nil {
		return err
	}
	if c.AllReported {
		_, err = fmt.Fprintln(out, "in force at every live process")
		return err
	}
	_, _ = fmt.Fprintln(out, "not reported yet by:")
	return printProcesses(out, c.Pending)
}
