package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// Release is the version of the programs.
const Release = "0.1.0"

// Version prints the version. The zero value works.
type Version struct{}

// Name implements subcommands.Command.
func (*Version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*Version) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*Version) Usage() string { return "version:\n  Print the version of the program.\n" }

// SetFlags implements subcommands.Command.
func (*Version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*Version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := os.Stdout.WriteString("sycamorectl " + Release + "\n"); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
