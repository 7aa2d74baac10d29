package command

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/operator"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
)

// Plan asks the controllers for the plan of an intent, which lists the changes
// and the costs. The zero value is ready to use.
type Plan struct {
	controllerCommand
	file string
}

// Name implements subcommands.Command.
func (*Plan) Name() string { return "plan" }

// Synopsis implements subcommands.Command.
func (*Plan) Synopsis() string { return "show what an intent would change and cost" }

// Usage implements subcommands.Command.
func (*Plan) Usage() string {
	return "plan -f FILE [--json]:\n  Ask for the plan of an intent. Nothing takes effect.\n" + controllerExitUsage
}

// SetFlags implements subcommands.Command.
func (p *Plan) SetFlags(f *flag.FlagSet) {
	p.declare(f)
	f.StringVar(&p.file, "f", "", "the file of the intent; - reads the standard input")
}

// Execute implements subcommands.Command.
func (p *Plan) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return p.run(f, 0, func(client *operator.Client, _ []string) (commandResult, error) {
		document, err := readIntent(p.file)
		if err != nil {
			return nil, err
		}
		proposed, err := client.Plan(document)
		return &planResult{plan: proposed}, err
	})
}

// readIntent reads an intent from a file, or from the standard input if file is
// "-". It rejects unknown fields.
func readIntent(file string) (*intent.Document, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, &UsageError{Problem: "-f " + file + ": " + err.Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	document := &intent.Document{}
	if err := decoder.Decode(document); err != nil {
		return nil, &UsageError{Problem: "-f " + file + ": " + err.Error()}
	}
	return document, nil
}

func readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}
