package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
)

// Status shows the processes and their versions, the pools, and the holders of
// the control duties' leases. The zero value is ready to use.
type Status struct {
	controllerCommand
}

// Name implements subcommands.Command.
func (*Status) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*Status) Synopsis() string { return "show processes with their versions, pools and leases" }

// Usage implements subcommands.Command.
func (*Status) Usage() string {
	return "status [--json]:\n  Show which process has which version, the instances of each pool, and who\n  holds each control duty.\n" + controllerExitUsage
}

// SetFlags implements subcommands.Command.
func (s *Status) SetFlags(f *flag.FlagSet) { s.declare(f) }

// Execute implements subcommands.Command.
func (s *Status) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return s.run(f, 0, func(client *operator.Client, _ []string) (commandResult, error) {
		status, err := client.Status()
		return &statusResult{status: status}, err
	})
}
