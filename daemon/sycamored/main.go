// Command sycamored is the daemon of sycamorecourse: a gateway on the path of
// the requests, or a controller beside it.
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
