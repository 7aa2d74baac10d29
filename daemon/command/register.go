package command

import (
	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/release"
)

// Register registers the subcommands of sycamored with a commander.
func Register(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(&Check{}, "")
	commander.Register(&Controller{}, "")
	commander.Register(&EntryGateway{}, "")
	commander.Register(&Gateway{}, "")
	commander.Register(&release.Version{Program: "sycamored"}, "")
}
