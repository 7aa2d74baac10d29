package release

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Version is the command that prints the version of a program.
type Version struct {
	// Program is the name of the program.
	Program string
}

// Name implements subcommands.Command.
func (*Version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*Version) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*Version) Usage() string { return "version:\n  Print the version of the program.\n" }

// SetFlags implements subcommands.Command.
func (*Version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (v *Version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := os.Stdout.WriteString(v.Program + " " + Release + "\n"); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
