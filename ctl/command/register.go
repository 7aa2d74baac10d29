package command

import (
	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/edge/release"
)

// Register adds the commands of sycamorectl to a commander. It also discards the
// network library's log messages, which would go to the standard output.
func Register(commander *subcommands.Commander) {
	netlog.Install(zerolog.Nop())
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(&Confirm{}, "operators")
	commander.Register(&Intent{}, "operators")
	commander.Register(&Plan{}, "operators")
	commander.Register(&Plans{}, "operators")
	commander.Register(&Status{}, "operators")
	commander.Register(&Addresses{}, "callers")
	commander.Register(&Call{}, "callers")
	commander.Register(&Request{}, "callers")
	commander.Register(&Dump{}, "")
	commander.Register(&Standin{}, "")
	commander.Register(&Keys{}, "")
	commander.Register(&release.VersionCommand{Program: "sycamorectl"}, "")
}
