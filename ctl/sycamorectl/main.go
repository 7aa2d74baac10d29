// Command sycamorectl is the command-line client of operators and callers. It
// also writes certificates and runs stand-ins of the platform.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/ctl/command"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "sycamorectl")
	command.Register(commander)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
