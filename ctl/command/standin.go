package command

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"os/signal"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/sycamorecourse/sycamorecourse/edge/logs"
	"github.com/sycamorecourse/sycamorecourse/edge/netlog"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
	"github.com/sycamorecourse/sycamorecourse/standin/site"
)

// Standin runs stand-ins of the platform, the cloud and the upstreams until
// SIGTERM or SIGINT. The zero value is ready to use.
type Standin struct {
	// Output receives the addresses as JSON; nil means the standard output.
	Output io.Writer

	settings StandinSettings
	set      *settings.Set
}

// Name implements subcommands.Command.
func (*Standin) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*Standin) Synopsis() string {
	return "run stand-ins of the platform, the cloud and the upstreams"
}

// Usage implements subcommands.Command.
func (*Standin) Usage() string {
	return "standin [flags]:\n" +
		"  Run stand-ins of the platform, the cloud and the upstreams on loopback. Their\n" +
		"  addresses are printed as one JSON document once they are ready. SIGTERM or\n" +
		"  SIGINT ends them.\n"
}

// SetFlags implements subcommands.Command.
func (s *Standin) SetFlags(flags *flag.FlagSet) {
	s.set = settings.New(flags)
	s.settings.declare(s.set)
}

// Execute implements subcommands.Command.
func (s *Standin) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log := logs.New(os.Stderr, zerolog.InfoLevel)
	netlog.Install(log)
	if err := s.set.Load(); err != nil {
		log.Error().Err(err).Msg("invalid_settings")
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, unix.SIGTERM, unix.SIGINT)
	defer stop()
	if err := s.run(ctx, log); err != nil {
		log.Error().Err(err).Msg("standin_failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run starts the stand-ins, prints their addresses and stops them when the
// context ends.
func (s *Standin) run(ctx context.Context, log zerolog.Logger) error {
	running, err := site.Start(s.settings.config())
	if err != nil {
		return err
	}
	if err := json.NewEncoder(s.output()).Encode(running.Addresses()); err != nil {
		_ = running.Stop()
		return err
	}
	log.Info().Int("instances", len(running.Addresses().Instances)).Msg("standin_ready")
	<-ctx.Done()
	err = running.Stop()
	log.Info().Msg("standin_ended")
	return err
}

func (s *Standin) output() io.Writer {
	if s.Output == nil {
		return os.Stdout
	}
	return s.Output
}
