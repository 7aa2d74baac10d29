// Command sycamored is the daemon of sycamorecourse. It runs one role: a
// gateway or an entry gateway, which serve callers, or a controller, which
// manages the configuration and the fleet.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/daemon/command"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "sycamored")
	command.Register(commander)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
