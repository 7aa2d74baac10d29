package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/client"
)

// Call sends a call to a plain service and prints the reply. The zero value is
// ready to use.
type Call struct {
	gatewayCommand
	call client.Call
	body string
}

// Name implements subcommands.Command.
func (*Call) Name() string { return "call" }

// Synopsis implements subcommands.Command.
func (*Call) Synopsis() string { return "call a plain service and print its reply" }

// Usage implements subcommands.Command.
func (*Call) Usage() string {
	return "call --service S --path /P [flags]:\n  Send a call of a plain service. A call that the intent marks as non-idempotent\n  needs --key.\n" + gatewayExitUsage
}

// SetFlags implements subcommands.Command.
func (c *Call) SetFlags(f *flag.FlagSet) {
	c.declare(f)
	c.set.Text(&c.call.Key, "key", "", "the key of the call", false)
	c.set.Text(&c.call.Service, "service", "", "the service", true)
	c.set.Text(&c.call.Method, "method", "GET", "the HTTP method", true)
	c.set.Text(&c.call.Path, "path", "/", "the path at the service", true)
	c.set.Text(&c.body, "body", "", "the body", false)
	c.set.Duration(&c.call.Deadline, "deadline", 10*time.Second, "the time limit of the call", time.Millisecond, 30*time.Minute)
	f.BoolVar(&c.call.Idempotent, "idempotent", false, "the call may be sent again")
}

// Execute implements subcommands.Command.
func (c *Call) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return c.run(func(caller *client.Client) error {
		c.call.Body = []byte(c.body)
		reply, err := caller.Call(c.call)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(os.Stdout, "%d %s\n", reply.Status, reply.Body)
		return err
	})
}
