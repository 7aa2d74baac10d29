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

// ExitUnknown is a request that may or may not have run.
const ExitUnknown subcommands.ExitStatus = 6

// callerUsage documents the exit statuses of all commands that call gateways.
const callerUsage = `  Exit status: 0 success, 1 failure, 2 usage, 3 refused and not run, 4 no gateway
  answered, 6 the request may or may not have run.
`

// gateways is what all commands that call gateways have in common.
type gateways struct {
	set        *settings.Set
	seeds      []string
	credential string
	asJSON     bool
}

func (g *gateways) declare(f *flag.FlagSet) {
	g.set = settings.New(f)
	g.set.Addresses(&g.seeds, "gateways", "", "addresses of gateways, asked for all others", true)
	g.set.Text(&g.credential, "credential", "", "the credential of the customer; better set in the environment", false)
	f.BoolVar(&g.asJSON, "json", false, "print JSON")
}

// run opens a client, acts and closes it.
func (g *gateways) run(act func(*client.Client) error) subcommands.ExitStatus {
	if err := g.set.Load(); err != nil {
		return g.fail(err)
	}
	c := client.New(client.Config{SeedAddresses: g.seeds, Credential: g.credential})
	if err := c.Open(); err != nil {
		return g.fail(err)
	}
	err := act(c)
	if closeErr := c.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return g.fail(err)
	}
	return subcommands.ExitSuccess
}

func (g *gateways) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(os.Stderr, "error: "+err.Error())
	var refused *client.RefusedError
	var none *client.NoAddressError
	switch {
	case errors.As(err, &none):
		return ExitUnreachable
	case !errors.As(err, &refused):
		return exitOf(err)
	case refused.Status == 0 && refused.Outcome == "not_run":
		return ExitUnreachable
	case refused.Outcome == "not_run":
		return ExitConflict
	default:
		return ExitUnknown
	}
}
