package faults

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/proof/scenarios/relay"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

const (
	// tick is the interval at which processes are checked.
	tick = 50 * time.Millisecond
	// longestQuiet bounds the time between two faults.
	longestQuiet = 700 * time.Millisecond
	// leaveTime is how long an upstream drains before it is removed.
	leaveTime = 2500 * time.Millisecond
	// restartChance is one in how many draws adds an upstream that restarts.
	restartChance = 3
)

// Driver injects faults. One thread uses it.
type Driver struct {
	// OnConfigure is called for each new configuration.
	OnConfigure func()

	world  *world.World
	random *rand.Rand
	// signals draws the drain and backoff signals of upstreams. It is a sequence of its
	// own, so that a seed goes on to stand for the same faults.
	signals *rand.Rand
	// spoils draws upstreams that spoil their responses, in the same way.
	spoils *rand.Rand
	// restarts draws upstreams that start anew at the same address, in the same way.
	restarts *rand.Rand
	// heads draws upstreams that spoil the heads of their responses, in the same way.
	heads *rand.Rand
	// drills draws restores of the store, in the same way, and drillEnd is when it is back
	// from the last one.
	drills   *rand.Rand
	drillEnd time.Duration
	log      zerolog.Logger
	steps    []step
	now      time.Duration
	// down maps a stopped gateway to the time of its restart.
	down map[*world.Gateway]time.Duration
	// killAt maps a gateway that got SIGTERM to the time of its SIGKILL.
	killAt map[*world.Gateway]time.Duration
}

// New makes a driver. What it does is logged.
func New(w *world.World, seed uint64, log zerolog.Logger) *Driver {
	return &Driver{
		world: w, random: rand.New(rand.NewPCG(seed, 3)), signals: rand.New(rand.NewPCG(seed, 4)),
		spoils: rand.New(rand.NewPCG(seed, 5)), restarts: rand.New(rand.NewPCG(seed, 6)),
		heads: rand.New(rand.NewPCG(seed, 7)), drills: rand.New(rand.NewPCG(seed, 10)), log: log,
		down: make(map[*world.Gateway]time.Duration), killAt: make(map[*world.Gateway]time.Duration),
	}
}

// Run injects faults for the given time, then removes them all and waits until all
// gateways are ready.
func (d *Driver) Run(length time.Duration) error {
	start := time.Now()
	next := time.Duration(0)
	for d.now < length {
		if d.now >= next {
			next = d.now + d.span(longestQuiet)
			if err := d.draw(); err != nil {
				return err
			}
		}
		if err := d.due(); err != nil {
			return err
		}
		world.Pause(tick)
		d.now = time.Since(start)
	}
	return d.heal()
}

// due carries out the steps that are due, and kills and restarts processes on time.
func (d *Driver) due() error {
	for len(d.steps) > 0 && d.steps[0].at <= d.now {
		s := d.steps[0]
		d.steps = d.steps[1:]
		d.log.Info().Dur("at_ms", d.now).Str("step", s.name).Msg("step")
		if err := s.do(); err != nil {
			return err
		}
	}
	for g, at := range d.killAt {
		if d.now >= at && g.IsRunning() {
			g.Signal(syscall.SIGKILL)
		}
		if !g.IsRunning() {
			delete(d.killAt, g)
		}
	}
	for g, at := range d.down {
		if d.now >= at && !g.IsRunning() {
			delete(d.down, g)
			// The kill was meant for the former process.
			delete(d.killAt, g)
			if err := g.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// heal removes all faults.
func (d *Driver) heal() error {
	d.now = 1 << 62
	if err := d.due(); err != nil {
		return err
	}
	for _, g := range d.world.Gateways {
		g.Signal(syscall.SIGCONT)
		for g.IsRunning() && d.killAt[g] != 0 {
			world.Pause(tick)
		}
		if err := g.Start(); err != nil {
			return err
		}
	}
	return d.world.AwaitReady()
}

func (d *Driver) span(longest time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(longest))) + time.Millisecond
}

// add schedules a step after a delay.
func (d *Driver) add(after time.Duration, name string, do func() error) {
	d.steps = append(d.steps, step{at: d.now + after, name: name, do: do})
	sort.SliceStable(d.steps, func(i, j int) bool { return d.steps[i].at < d.steps[j].at })
}

// draw schedules a random fault and its removal.
func (d *Driver) draw() error {
	g := d.world.Gateways[d.random.IntN(len(d.world.Gateways))]
	u := d.world.Upstreams[d.random.IntN(len(d.world.Upstreams))]
	d.drawSpoils()
	d.drawDrill()
	if d.restarts.IntN(restartChance) == 0 {
		d.restart(d.world.Upstreams[d.restarts.IntN(len(d.world.Upstreams))])
	}
	switch d.random.IntN(10) {
	case 0, 1:
		d.signal(g)
	case 2:
		d.link("store of "+g.Name, g.Store)
	case 3:
		d.link("callers of "+g.Name, g.Callers)
	case 4:
		d.link("way to "+u.ID, u.Relay)
	case 5, 6:
		d.store()
	case 7:
		d.misbehave(u)
	case 8:
		d.replace(u)
	default:
		d.add(0, fmt.Sprintf("configuration %d", d.world.Version()+1), func() error {
			err := d.world.Configure()
			d.OnConfigure()
			return err
		})
	}
	return nil
}

func (d *Driver) signal(g *world.Gateway) {
	again := d.span(3 * time.Second)
	switch d.random.IntN(4) {
	case 0:
		d.add(0, "SIGTERM "+g.Name, func() error {
			g.Signal(syscall.SIGTERM)
			d.killAt[g], d.down[g] = d.now+world.Grace, d.now+again
			return nil
		})
	case 1:
		d.add(0, "SIGKILL "+g.Name, func() error {
			g.Signal(syscall.SIGKILL)
			d.down[g] = d.now + again
			return nil
		})
	case 2:
		d.add(0, "SIGSTOP "+g.Name, func() error { g.Signal(syscall.SIGSTOP); return nil })
		d.add(again, "SIGCONT "+g.Name, func() error { g.Signal(syscall.SIGCONT); return nil })
	default:
		d.add(0, "SIGHUP "+g.Name, func() error { g.Signal(syscall.SIGHUP); return nil })
	}
}

func (d *Driver) link(name string, r *relay.Relay) {
	var state relay.State
	what := ""
	switch d.random.IntN(5) {
	case 0:
		d.add(0, "reset "+name, r.Reset)
		return
	case 1:
		state, what = relay.State{HoldsForth: true}, "silence forth "
	case 2:
		state, what = relay.State{HoldsBack: true}, "silence back "
	case 3:
		state, what = relay.State{HoldsForth: true, HoldsBack: true}, "silence "
	default:
		state, what = relay.State{Delay: d.span(200 * time.Millisecond)}, "delay "
	}
	d.add(0, what+name, func() error { return r.Set(state) })
	d.add(d.span(3*time.Second), "heal "+name, func() error { return r.Set(relay.State{}) })
}

func (d *Driver) store() {
	var f host.Faults
	switch d.random.IntN(5) {
	case 0:
		f = host.Faults{Down: true, Mode: host.ModeCut}
	case 1:
		f = host.Faults{Down: true, Mode: host.ModeError}
	case 2:
		f = host.Faults{LoseAnswers: 1 + d.random.IntN(10)}
	case 3:
		f = host.Faults{SlowMillis: 20 + d.random.Int64N(300)}
	default:
		d.add(0, "the store forgets", func() error { return world.Posted(d.world.Store, d.world.Store.TruncateHistory) })
		return
	}
	set := func(f host.Faults) func() error {
		return func() error { return world.Posted(d.world.Store, func() { d.world.Store.SetFaults(f) }) }
	}
	d.add(0, fmt.Sprintf("store %+v", f), set(f))
	d.add(d.span(3*time.Second), "store heals", set(host.Faults{}))
}

func (d *Driver) misbehave(u *world.Upstream) {
	var change func(*replica.Config)
	what := ""
	switch d.random.IntN(5) {
	case 0:
		wait := []string{"", "0.5", "1", "2", "soon", "-1"}[d.signals.IntN(6)]
		change, what = func(c *replica.Config) { c.RejectAll, c.RetryAfter = true, wait }, "full, "+wait
	case 1:
		change, what = func(c *replica.Config) { c.FailStatus = 500 }, "fails"
	case 2:
		change, what = func(c *replica.Config) { c.DropResponses = true }, "drops answers"
	case 3:
		change, what = func(c *replica.Config) { c.NeverRespond = true }, "mute"
	default:
		change, what = func(c *replica.Config) { c.BreakAfter = 2 }, "breaks streams off"
	}
	set := func(change func(*replica.Config)) func() error {
		return func() error { return world.Posted(u.Replica, func() { u.Replica.UpdateConfig(change) }) }
	}
	d.add(0, u.ID+" "+what, set(change))
	d.add(d.span(2*time.Second), u.ID+" heals", set(func(c *replica.Config) {
		c.RejectAll, c.FailStatus, c.DropResponses, c.NeverRespond, c.BreakAfter = false, 0, false, false, 0
		c.RetryAfter = ""
	}))
}

// replace removes an upstream, with or without a drain, and adds another one.
func (d *Driver) replace(u *world.Upstream) {
	d.add(0, "one for "+u.ID, func() error {
		_, err := d.world.AddUpstream(u.Service)
		return err
	})
	gone := time.Duration(0)
	if d.random.IntN(3) > 0 {
		gone = leaveTime
		d.add(0, u.ID+" leaves", func() error { return d.world.Register(u, operator.Draining) })
	}
	if gone > 0 && d.signals.IntN(2) == 0 {
		d.add(0, u.ID+" says that it leaves", func() error {
			return world.Posted(u.Replica, func() { u.Replica.UpdateConfig(func(c *replica.Config) { c.Draining = true }) })
		})
	}
	d.add(gone, u.ID+" is gone", func() error { return d.world.Remove(u) })
}
