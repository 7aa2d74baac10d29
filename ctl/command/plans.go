package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
)

// Plans lists the plans of today and yesterday. The zero value is ready to use.
type Plans struct {
	controllerCommand
}

// Name implements subcommands.Command.
func (*Plans) Name() string { return "plans" }

// Synopsis implements subcommands.Command.
func (*Plans) Synopsis() string { return "list the latest plans and who confirmed them" }

// Usage implements subcommands.Command.
func (*Plans) Usage() string {
	return "plans [--json]:\n  List the plans of today and yesterday (UTC), latest first.\n" + controllerExitUsage
}

// SetFlags implements subcommands.Command.
func (p *Plans) SetFlags(f *flag.FlagSet) { p.declare(f) }

// Execute implements subcommands.Command.
func (p *Plans) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return p.run(f, 0, func(client *operator.Client, _ []string) (commandResult, error) {
		history, err := client.Plans()
		return &plansResult{history: history}, err
	})
}
