package command

import (
	"context"
	"flag"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/daemon/entry"
	"github.com/sycamorecourse/sycamorecourse/edge/logs"
	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/edge/release"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
	"github.com/sycamorecourse/sycamorecourse/platform/boot"
)

// memoryLimitRatio is the soft memory limit of the Go runtime as a share of
// the memory of the process.
const memoryLimitRatio = 0.7

// EntryGateway runs an entry gateway on the users' platform. The zero value is
// ready to use.
type EntryGateway struct {
	set      *settings.Set
	settings entrySettings
}

// Name implements subcommands.Command.
func (*EntryGateway) Name() string { return entry.Role }

// Synopsis implements subcommands.Command.
func (*EntryGateway) Synopsis() string { return "run an entry gateway on the users' platform" }

// Usage implements subcommands.Command.
func (*EntryGateway) Usage() string {
	return "entry [flags]:\n  Serve callers as the platform's settings file says, until SIGTERM.\n  Exit status: 0 graceful end, 1 failure or requests cut, 2 settings.\n"
}

// SetFlags implements subcommands.Command.
func (c *EntryGateway) SetFlags(f *flag.FlagSet) {
	c.set = settings.New(f)
	c.settings.declare(c.set)
}

// Execute implements subcommands.Command.
func (c *EntryGateway) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	queue := logs.NewQueue(os.Stdout)
	status := c.run(logs.New(queue, zerolog.InfoLevel), queue)
	if queue.Close() != nil {
		return subcommands.ExitFailure
	}
	return status
}

func (c *EntryGateway) run(log zerolog.Logger, queue *logs.Queue) subcommands.ExitStatus {
	if err := c.set.Load(); err != nil {
		log.Error().Str("cause", err.Error()).Msg("settings_invalid")
		return subcommands.ExitUsageError
	}
	if level, err := zerolog.ParseLevel(c.settings.logLevel); err == nil {
		log = log.Level(level)
	}
	netlog.Install(log)
	file, err := boot.Read(c.settings.nodeFile)
	if err != nil {
		log.Error().Str("cause", err.Error()).Msg("settings_invalid")
		return subcommands.ExitUsageError
	}
	if file.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(file.MemoryBytes)))
	}
	role := entry.New(file, log, release.Release)
	role.AddRing(queue.Stats)
	if err := role.Open(); err != nil {
		log.Error().Str("cause", err.Error()).Msg("start_failed")
		return subcommands.ExitFailure
	}
	onTermination(stopSignals, role.Stop)
	onReload(role.Reload)
	if err := role.Run(); err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
