package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/daemon/gateway"
	"github.com/sycamorecourse/sycamorecourse/edge/logs"
	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/edge/release"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// Gateway runs a gateway. The zero value is ready to use.
type Gateway struct {
	set      *settings.Set
	settings gateway.Settings
}

// Name implements subcommands.Command.
func (*Gateway) Name() string { return gateway.Role }

// Synopsis implements subcommands.Command.
func (*Gateway) Synopsis() string { return "run a gateway" }

// Usage implements subcommands.Command.
func (*Gateway) Usage() string {
	return "gateway [flags]:\n  Serve callers until SIGTERM. Exit status: 0 graceful end, 1 failure or requests cut, 2 settings.\n"
}

// SetFlags implements subcommands.Command.
func (c *Gateway) SetFlags(f *flag.FlagSet) {
	c.set = settings.New(f)
	c.settings.Declare(c.set)
}

// Execute implements subcommands.Command.
func (c *Gateway) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	log := logs.New(os.Stderr, zerolog.InfoLevel)
	if err := c.set.Load(); err != nil {
		log.Error().Str("cause", err.Error()).Msg("settings_invalid")
		return subcommands.ExitUsageError
	}
	if level, err := zerolog.ParseLevel(c.settings.LogLevel); err == nil {
		log = log.Level(level)
	}
	netlog.Install(log)
	role := gateway.New(&c.settings, log, release.Release)
	if err := role.Open(); err != nil {
		log.Error().Str("cause", err.Error()).Msg("start_failed")
		return subcommands.ExitFailure
	}
	onTermination(stopSignals, role.Stop)
	if err := role.Run(); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
