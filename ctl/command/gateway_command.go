package command

import (
	"flag"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/client"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// ExitOutcomeUnknown means that a request may or may not have run.
const ExitOutcomeUnknown subcommands.ExitStatus = 6

// gatewayExitUsage documents the exit statuses of the commands that call
// gateways.
const gatewayExitUsage = `  Exit status: 0 success, 1 failure, 2 usage, 3 refused and not run, 4 no gateway
  answered, 6 the request may or may not have run.
`

// gatewayCommand is embedded in all commands that call gateways. It provides
// their common flags and the client.
type gatewayCommand struct {
	set        *settings.Set
	seeds      []string
	credential string
	asJSON     bool
}

func (g *gatewayCommand) declare(f *flag.FlagSet) {
	g.set = settings.New(f)
	g.set.Addresses(&g.seeds, "gateways", "", "addresses of gateways, from which the addresses of all others are read", true)
	g.set.Text(&g.credential, "credential", "", "the credential of the customer; prefer the environment variable", false)
	f.BoolVar(&g.asJSON, "json", false, "print JSON")
}

// run opens a client, calls act and closes the client. It returns the exit status
// of the command.
func (g *gatewayCommand) run(act func(*client.Client) error) subcommands.ExitStatus {
	if err := g.set.Load(); err != nil {
		return g.reportError(err)
	}
	c := client.New(client.Config{SeedAddresses: g.seeds, Credential: g.credential})
	if err := c.Open(); err != nil {
		return g.reportError(err)
	}
	err := act(c)
	if closeErr := c.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return g.reportError(err)
	}
	return subcommands.ExitSuccess
}

// reportError prints an error and returns its exit status.
func (g *gatewayCommand) reportError(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(os.Stderr, "error: "+err.Error())
	var refused *client.RefusedError
	var none *client.NoAddressError
	switch {
	case errors.As(err, &none):
		return ExitUnreachable
	case !errors.As(err, &refused):
		return exitStatusOf(err)
	case refused.Status == 0 && refused.Outcome == "not_run":
		return ExitUnreachable
	case refused.Outcome == "not_run":
		return ExitConflict
	default:
		return ExitOutcomeUnknown
	}
}
