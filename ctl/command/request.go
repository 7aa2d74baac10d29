package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/sycamorecourse/sycamorecourse/edge/client"
)

// Request sends a request to a model engine and prints the answer while it
// arrives. The zero value is ready to use.
type Request struct {
	gatewayCommand
	request client.Request
}

// Name implements subcommands.Command.
func (*Request) Name() string { return "request" }

// Synopsis implements subcommands.Command.
func (*Request) Synopsis() string { return "send a request and print its answer" }

// Usage implements subcommands.Command.
func (*Request) Usage() string {
	return "request --model M --prompt P [flags]:\n  Send a request, resume it where a connection breaks, and check that the answer\n  is whole.\n" + gatewayExitUsage
}

// SetFlags implements subcommands.Command.
func (r *Request) SetFlags(f *flag.FlagSet) {
	r.declare(f)
	r.set.Text(&r.request.Key, "key", "", "the key of the request; empty: a new random key", false)
	r.set.Text(&r.request.Model, "model", "", "the model", true)
	r.set.Text(&r.request.Adapter, "adapter", "", "the adapter", false)
	r.set.Text(&r.request.Prompt, "prompt", "", "the prompt", true)
	r.set.Int(&r.request.MaxTokens, "max-tokens", 32, "the maximum length of the answer in tokens", 1, 32768)
	r.set.Int(&r.request.Priority, "priority", 0, "the priority; higher values are served first", -100, 100)
	r.set.Duration(&r.request.Deadline, "deadline", 30*time.Second, "the time limit of the whole answer", time.Millisecond, 30*time.Minute)
	f.BoolVar(&r.request.Idempotent, "idempotent", false, "the request may be run again")
}

// Execute implements subcommands.Command.
func (r *Request) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return r.run(func(c *client.Client) error {
		if r.request.Key == "" {
			r.request.Key = uuid.NewString()
		}
		answer, err := c.Submit(r.request, r.printPiece)
		if err != nil {
			return err
		}
		return r.print(answer)
	})
}

func (r *Request) printPiece(p client.Piece) {
	if !r.asJSON {
		_, _ = os.Stdout.WriteString(p.Text)
	}
}

func (r *Request) print(answer client.Answer) error {
	if r.asJSON {
		return json.NewEncoder(os.Stdout).Encode(answer)
	}
	_, err := fmt.Fprintf(os.Stdout, "\n-- whole: key=%s tokens=%d pieces=%d attempts=%d recomputed_tokens=%d\n",
		r.request.Key, answer.Tokens, answer.Pieces, answer.Attempts, answer.RecomputedTokens)
	return err
}
