package command

import (
	_ "net" // links the C library until the first server does

	"github.com/google/subcommands"
)

// Register adds the commands of sycamorectl to a commander.
func Register(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(&Keys{}, "")
	commander.Register(&Version{}, "")
}
