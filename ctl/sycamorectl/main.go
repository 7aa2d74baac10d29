// Command sycamorectl is the command line of the operators.
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
