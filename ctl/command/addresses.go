package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/client"
)

// Addresses prints the gateway addresses that callers are told to use. The zero
// value is ready to use.
type Addresses struct {
	gatewayCommand
}

// Name implements subcommands.Command.
func (*Addresses) Name() string { return "addresses" }

// Synopsis implements subcommands.Command.
func (*Addresses) Synopsis() string { return "print the addresses that callers are told to use" }

// Usage implements subcommands.Command.
func (*Addresses) Usage() string {
	return "addresses --gateways A [--json]:\n  Print address, failure domain and weight of each gateway in use.\n" + gatewayExitUsage
}

// SetFlags implements subcommands.Command.
func (a *Addresses) SetFlags(f *flag.FlagSet) { a.declare(f) }

// Execute implements subcommands.Command.
func (a *Addresses) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return a.run(func(c *client.Client) error {
		list, err := c.Addresses()
		if err != nil {
			return err
		}
		if a.asJSON {
			return json.NewEncoder(os.Stdout).Encode(list)
		}
		for _, address := range list {
			if _, err := fmt.Fprintf(os.Stdout, "%s\t%s\t%d\n", address.Address, address.FailureDomain, address.Weight); err != nil {
				return err
			}
		}
		return nil
	})
}
