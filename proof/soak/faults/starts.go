package faults

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
)

// contactTime is how long after its start, and after the return of the store, a gateway may
// take to do what the others do.
const contactTime = 3 * time.Second

// Starts starts gateways anew around a drill that loses a change of the configuration. One
// thread uses it.
type Starts struct {
	world  *world.World
	plan   startPlan
	log    zerolog.Logger
	begun  time.Time
	back   time.Time
	starts map[string]time.Time
}

// NewStarts makes those of a seed. What it does is logged.
func NewStarts(w *world.World, seed uint64, log zerolog.Logger) *Starts {
	plan := drawStartPlan(rand.New(rand.NewPCG(seed, 12)), len(w.Gateways))
	return &Starts{world: w, plan: plan, log: log, starts: make(map[string]time.Time)}
}

// Length is how long Run takes.
func (s *Starts) Length() time.Duration {
	return s.plan.lead + s.plan.drill.Away + startRewrite
}

// Run makes a change and carries out the plan, until the operator is about to write again.
func (s *Starts) Run(change func() error) error {
	s.log.Info().Str("plan", fmt.Sprintf("%+v", s.plan)).Msg("plan")
	if err := change(); err != nil {
		return err
	}
	world.Pause(s.plan.lead)
	s.begun = time.Now()
	s.back = s.begun.Add(s.plan.drill.Away)
	if err := world.Posted(s.world.Store, func() { s.world.Store.StartDrill(s.plan.drill) }); err != nil {
		return err
	}
	for time.Since(s.begun) < s.plan.drill.Away+startRewrite {
		for _, k := range s.plan.kills {
			if err := s.due(k); err != nil {
				return err
			}
		}
		world.Pause(tick)
	}
	return nil
}

// due kills or starts a gateway if it is time to.
func (s *Starts) due(k plannedKill) error {
	g, since := s.world.Gateways[k.gateway], time.Since(s.begun)
	_, isStarted := s.starts[g.Name]
	switch {
	case isStarted || since < k.at:
		return nil
	case g.IsRunning():
		s.log.Info().Dur("at_ms", since).Str("gateway", g.Name).Msg("killed")
		g.Signal(syscall.SIGKILL)
	case since >= k.at+k.down:
		s.log.Info().Dur("at_ms", since).Str("gateway", g.Name).Msg("started")
		s.starts[g.Name] = time.Now()
		return g.Start()
	}
	return nil
}

// AllAnew reports whether no gateway is left that knew the change.
func (s *Starts) AllAnew() bool {
	return len(s.plan.kills) == len(s.world.Gateways)
}

// Judged returns from when until when a gateway has to do what the others do.
func (s *Starts) Judged(g *world.Gateway) (from, to time.Time) {
	from = s.back
	if at := s.starts[g.Name]; at.After(from) {
		from = at
	}
	return from.Add(contactTime), s.back.Add(startRewrite)
}
