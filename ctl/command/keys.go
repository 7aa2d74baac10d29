package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/sycamorecourse/sycamorecourse/edge/keys"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

const (
	defaultValidity = 30 * 24 * time.Hour
	minValidity     = time.Hour
	maxValidity     = 10 * 365 * 24 * time.Hour
)

// Keys writes a certificate authority, and for each entry instance the
// certificates of its gateway and controller. The zero value is ready to use.
type Keys struct {
	set       *settings.Set
	directory string
	instances []string
	valid     time.Duration
}

// Name implements subcommands.Command.
func (*Keys) Name() string { return "keys" }

// Synopsis implements subcommands.Command.
func (*Keys) Synopsis() string { return "write certificates for a trial installation" }

// Usage implements subcommands.Command.
func (*Keys) Usage() string {
	return "keys --dir DIRECTORY --names INSTANCE,INSTANCE:\n" +
		"  Write a certificate authority, and for each instance the certificates\n" +
		"  of its gateway and its controller. No file is replaced.\n"
}

// SetFlags implements subcommands.Command.
func (k *Keys) SetFlags(flags *flag.FlagSet) {
	k.set = settings.New(flags)
	k.set.Text(&k.directory, "dir", "", "directory to write to", true)
	k.set.List(&k.instances, "names", "", "names of the entry instances")
	k.set.Duration(&k.valid, "valid", defaultValidity, "how long the certificates are valid", minValidity, maxValidity)
}

// Execute implements subcommands.Command.
func (k *Keys) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := k.set.Load(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if len(k.instances) == 0 {
		fmt.Fprint(os.Stderr, "--names is missing\n", k.Usage())
		return subcommands.ExitUsageError
	}
	var identities []keys.Identity
	for _, instance := range k.instances {
		identities = append(identities, keys.Identity{Role: "gateway", Instance: instance}, keys.Identity{Role: "controller", Instance: instance})
	}
	if err := keys.GenerateFiles(k.directory, identities, k.valid); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
