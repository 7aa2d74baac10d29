package command

import (
	"context"
	"flag"
	"os/user"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
)

// Confirm confirms a plan, which puts it into effect, and waits until the live
// processes have applied it. The zero value is ready to use.
type Confirm struct {
	controllerCommand
	operator string
	wait     time.Duration
}

// Name implements subcommands.Command.
func (*Confirm) Name() string { return "confirm" }

// Synopsis implements subcommands.Command.
func (*Confirm) Synopsis() string { return "put a plan into force" }

// Usage implements subcommands.Command.
func (*Confirm) Usage() string {
	return "confirm PLAN [--json]:\n  Confirm a plan and wait until every live process has it. Confirming twice is\n  the same as once, so it is safe to ask again.\n" + controllerExitUsage
}

// SetFlags implements subcommands.Command.
func (c *Confirm) SetFlags(f *flag.FlagSet) {
	c.declare(f)
	c.set.Text(&c.operator, "operator", userName(), "name that is recorded with the confirmation", true)
	c.set.Duration(&c.wait, "wait", 15*time.Second, "how long to wait for all processes", 0, operator.MaxWait)
}

// Execute implements subcommands.Command.
func (c *Confirm) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(f, 1, func(client *operator.Client, args []string) (commandResult, error) {
		confirmed, err := client.Confirm(args[0], c.operator, c.wait)
		return &confirmResult{confirmed: confirmed}, err
	})
}

// userName returns the login name of the current user, empty if unknown.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}
