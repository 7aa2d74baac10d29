package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/daemon/controller"
	"github.com/sycamorecourse/sycamorecourse/edge/logs"
	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/edge/release"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// stopSignals is the number of signals that are handled: the first starts a
// graceful shutdown, the second ends the process at once.
const stopSignals = 2

// Controller runs a controller. The zero value is ready to use.
type Controller struct {
	set      *settings.Set
	settings controller.Settings
}

// Name implements subcommands.Command.
func (*Controller) Name() string { return controller.Role }

// Synopsis implements subcommands.Command.
func (*Controller) Synopsis() string { return "run a controller" }

// Usage implements subcommands.Command.
func (*Controller) Usage() string {
	return "controller [flags]:\n  Answer operators, keep the configuration and manage the fleet until SIGTERM.\n"
}

// SetFlags implements subcommands.Command.
func (c *Controller) SetFlags(f *flag.FlagSet) {
	c.set = settings.New(f)
	c.settings.Declare(c.set)
}

// Execute implements subcommands.Command.
func (c *Controller) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	log := logs.New(os.Stderr, zerolog.InfoLevel)
	if err := c.set.Load(); err != nil {
		log.Error().Str("cause", err.Error()).Msg("settings_invalid")
		return subcommands.ExitUsageError
	}
	if level, err := zerolog.ParseLevel(c.settings.LogLevel); err == nil {
		log = log.Level(level)
	}
	netlog.Install(log)
	role, err := controller.Open(&c.settings, log, release.Release)
	if err != nil {
		log.Error().Str("cause", err.Error()).Msg("start_failed")
		return subcommands.ExitFailure
	}
	onTermination(stopSignals, role.Stop)
	if err := role.Run(); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
