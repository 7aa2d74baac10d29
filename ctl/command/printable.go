package command

import (
	"io"

	"github.com/google/subcommands"
)

// printable is the result of a command.
type printable interface {
	// text prints the result for people.
	text(out io.Writer) error
	// value returns what is printed as JSON.
	value() any
	// exit returns the exit status.
	exit() subcommands.ExitStatus
}
