package command

import (
	"io"

	"github.com/google/subcommands"
)

// commandResult is the result of a command that calls controllers.
type commandResult interface {
	// writeText writes the result as text.
	writeText(out io.Writer) error
	// jsonValue returns the value that is encoded for --json.
	jsonValue() any
	// exitStatus returns the exit status of the command.
	exitStatus() subcommands.ExitStatus
}
