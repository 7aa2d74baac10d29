package release

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// VersionCommand implements the version subcommand, which prints the name and
// version of a program.
type VersionCommand struct {
	// Program is the name of the program.
	Program string
}

// Name implements subcommands.Command.
func (*VersionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*VersionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*VersionCommand) Usage() string { return "version:\n  Print the version of the program.\n" }

// SetFlags implements subcommands.Command.
func (*VersionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (v *VersionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := os.Stdout.WriteString(v.Program + " " + Version + "\n"); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
