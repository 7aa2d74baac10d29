package command

import (
	"context"
	"flag"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/platform/collect"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// maxDumpBytes is the maximum size of a dump.
const maxDumpBytes = 16 << 20

// Dump prints the state, the metrics or the health of a process. The zero value
// is ready to use.
type Dump struct {
	set     *settings.Set
	address string
	path    string
	timeout time.Duration
}

// Name implements subcommands.Command.
func (*Dump) Name() string { return "dump" }

// Synopsis implements subcommands.Command.
func (*Dump) Synopsis() string { return "print the state of a process as JSON" }

// Usage implements subcommands.Command.
func (*Dump) Usage() string {
	return "dump --admin A [--path /metrics]:\n  Print the state of the process whose admin address is given.\n  Exit status: 0 success, 1 failure, 2 usage, 4 no answer.\n"
}

// SetFlags implements subcommands.Command.
func (d *Dump) SetFlags(f *flag.FlagSet) {
	d.set = settings.New(f)
	d.set.Address(&d.address, "admin", "", "the admin address of a process", true)
	d.set.OneOf(&d.path, "path", "/debug/state", "what to print", "/debug/state", "/metrics", "/healthz")
	d.set.Duration(&d.timeout, "timeout", 5*time.Second, "the time limit of the call", 10*time.Millisecond, time.Minute)
}

// Execute implements subcommands.Command.
func (d *Dump) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := d.set.Load(); err != nil {
		printError(os.Stderr, err)
		return exitStatusOf(err)
	}
	answer, err := d.fetch()
	if err != nil {
		printError(os.Stderr, err)
		return ExitUnreachable
	}
	if _, err := os.Stdout.Write(answer.Body); err != nil || answer.Status != http.StatusOK {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// fetch reads the path from the admin address. The client calls the sink on its
// own thread, which passes the answer through a ring.
func (d *Dump) fetch() (collect.Response, error) {
	client := httpc.New(httpc.Config{})
	if err := client.Open(); err != nil {
		return collect.Response{}, err
	}
	t := thread.Start("client", client.Run)
	outcomes := ring.New[fetchResult]("fetched", 1)
	err := client.Start(&httpc.Call{
		Address: d.address,
		Method:  http.MethodGet,
		Path:    d.path,
		Timeout: d.timeout,
		Sink: collect.New(maxDumpBytes, func(answer collect.Response, err error) {
			_ = outcomes.Offer(fetchResult{answer: answer, err: err})
		}),
	})
	if err != nil {
		return collect.Response{}, err
	}
	outcome, err := outcomes.Take()
	if err != nil {
		return collect.Response{}, err
	}
	client.Close()
	if err := t.Join(); err != nil {
		return collect.Response{}, err
	}
	return outcome.answer, outcome.err
}
