package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// Check prints the resolved settings of a role and all errors in them. The
// zero value is ready to use.
type Check struct{}

// Name implements subcommands.Command.
func (*Check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*Check) Synopsis() string { return "print the settings of a role and what is wrong with them" }

// Usage implements subcommands.Command.
func (*Check) Usage() string {
	return "check ROLE [flags of the role]:\n  Print each setting as it would be in force, and all faults.\n  Exit status: 0 valid, 2 invalid or unknown role.\n"
}

// SetFlags implements subcommands.Command.
func (*Check) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*Check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return checkRole(os.Stdout, f.Args())
}

func checkRole(out io.Writer, args []string) subcommands.ExitStatus {
	if len(args) == 0 || declareSettings[args[0]] == nil {
		_, _ = fmt.Fprintln(out, "error: a role is required: "+roleNames())
		return subcommands.ExitUsageError
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(out)
	set := settings.New(flags)
	declareSettings[args[0]](set)
	if err := flags.Parse(args[1:]); err != nil {
		return subcommands.ExitUsageError
	}
	err := set.Load()
	for _, r := range set.Resolved() {
		_, _ = fmt.Fprintf(out, "--%s=%s (%s)\n", r.Flag, r.Value, r.Variable)
	}
	if err != nil {
		_, _ = fmt.Fprintln(out, "error: "+err.Error())
		return subcommands.ExitUsageError
	}
	_, _ = fmt.Fprintln(out, "valid")
	return subcommands.ExitSuccess
}
