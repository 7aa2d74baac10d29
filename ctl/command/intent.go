package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
)

// Intent shows the configuration in effect. The zero value is ready to use.
type Intent struct {
	controllerCommand
}

// Name implements subcommands.Command.
func (*Intent) Name() string { return "intent" }

// Synopsis implements subcommands.Command.
func (*Intent) Synopsis() string { return "show the configuration in effect" }

// Usage implements subcommands.Command.
func (*Intent) Usage() string {
	return "intent [--json]:\n  Show the confirmed intents of all members and who confirmed the last.\n" + controllerExitUsage
}

// SetFlags implements subcommands.Command.
func (i *Intent) SetFlags(f *flag.FlagSet) { i.declare(f) }

// Execute implements subcommands.Command.
func (i *Intent) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return i.run(f, 0, func(client *operator.Client, _ []string) (commandResult, error) {
		head, err := client.Intent()
		return &intentResult{head: head}, err
	})
}
