package faults

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/judge"
	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
)

const (
	// effectTime is the time within which a change that the store has acknowledged has taken
	// effect at all gateways that run and reach the store.
	effectTime = 2 * time.Second
	// lookTime is how long after that late requests are looked for.
	lookTime = 1500 * time.Millisecond
)

// Departures lets upstreams leave, and new ones come, around restores of the store. One
// thread uses it.
type Departures struct {
	world  *world.World
	random *rand.Rand
	log    zerolog.Logger
	found  []judge.Departure
	former map[string]*world.Upstream
	// excuses are those of gateways that were started anew.
	excuses []judge.Excuse
}

// NewDepartures makes the departures of a seed. What it does is logged.
func NewDepartures(w *world.World, seed uint64, log zerolog.Logger) *Departures {
	return &Departures{world: w, random: rand.New(rand.NewPCG(seed, 11)), log: log, former: make(map[string]*world.Upstream)}
}

// Run plays a number of restores.
func (d *Departures) Run(count int) error {
	for range count {
		if err := d.play(drawDeparturePlan(d.random, len(d.world.Gateways))); err != nil {
			return err
		}
	}
	return nil
}

// Excuses returns those of the gateways that were started anew.
func (d *Departures) Excuses() []judge.Excuse { return d.excuses }

// Each calls f with each upstream that has left or come, and what is expected of it.
func (d *Departures) Each(f func(*world.Upstream, judge.Departure) error) error {
	for _, departure := range d.found {
		if err := f(d.former[departure.Upstream], departure); err != nil {
			return err
		}
	}
	return nil
}

// play carries out a plan.
func (d *Departures) play(p departurePlan) error {
	d.log.Info().Str("plan", fmt.Sprintf("%+v", p)).Msg("plan")
	if p.isAhead {
		if err := d.raiseVersions(); err != nil {
			return err
		}
		world.Pause(effectTime)
	}
	early, err := d.leave(p.isRemoved[0])
	if err != nil {
		return err
	}
	world.Pause(p.lead)
	back, err := d.drill(p)
	if err != nil {
		return err
	}
	if p.lead < effectTime {
		// Not all gateways knew it when the store lost it.
		early = back
	}
	d.found[len(d.found)-1].NoneAfter = early.Add(effectTime)
	world.Pause(p.wait)
	late, err := d.leave(p.isRemoved[1])
	if err != nil {
		return err
	}
	d.found[len(d.found)-1].NoneAfter = late.Add(effectTime)
	if err := d.come(); err != nil {
		return err
	}
	world.Pause(effectTime + lookTime)
	return nil
}

// raiseVersions writes to a table that nobody follows.
func (d *Departures) raiseVersions() error {
	return world.Posted(d.world.Store, func() {
		for range fastVersions {
			d.world.Store.Put("other", "x", nil)
		}
	})
}

// leave lets an upstream leave, starts another one in its place first, and returns when the
// store had acknowledged that.
func (d *Departures) leave(isRemoved bool) (time.Time, error) {
	u := d.world.Upstreams[0]
	if _, err := d.world.AddUpstream(u.Service); err != nil {
		return time.Time{}, err
	}
	d.former[u.ID] = u
	d.found = append(d.found, judge.Departure{Upstream: u.ID})
	d.log.Info().Str("upstream", u.ID).Bool("removed", isRemoved).Msg("leaves")
	if isRemoved {
		err := d.world.Remove(u)
		return time.Now(), err
	}
	err := d.world.Register(u, operator.Draining)
	acknowledged := time.Now()
	d.world.Forget(u)
	return acknowledged, err
}

// come starts an upstream, which has to get requests in time.
func (d *Departures) come() error {
	u, err := d.world.AddUpstream(world.CallService)
	if err != nil {
		return err
	}
	now := time.Now()
	d.former[u.ID] = u
	// Requests that were sent before may reach it as well.
	d.found = append(d.found, judge.Departure{Upstream: u.ID, UsedFrom: now.Add(-effectTime), UsedBy: now.Add(effectTime)})
	d.log.Info().Str("upstream", u.ID).Msg("comes")
	return nil
}

// drill carries out the drills of a plan, and returns an instant at which the store was
// back, others had written again, and all gateways were ready.
func (d *Departures) drill(p departurePlan) (time.Time, error) {
	begun := time.Now()
	for i, next := range p.drills {
		d.log.Info().Str("drill", fmt.Sprintf("%+v", next)).Msg("drill")
		if err := world.Posted(d.world.Store, func() { d.world.Store.StartDrill(next) }); err != nil {
			return time.Time{}, err
		}
		back := time.Now().Add(next.Away)
		if i == 0 {
			if err := d.restart(p); err != nil {
				return time.Time{}, err
			}
		}
		world.Pause(time.Until(back) + tick)
		if i == len(p.drills)-1 {
			world.Pause(next.Rewrite)
		}
	}
	err := d.world.AwaitReady()
	d.log.Info().Msg("back")
	back := time.Now()
	for _, g := range d.restarted(p) {
		d.excuses = append(d.excuses, judge.Excuse{Gateway: g.CallerAddress(), From: begun, To: back.Add(effectTime)})
	}
	return back, err
}

// restarted returns the gateways that a plan starts anew.
func (d *Departures) restarted(p departurePlan) []*world.Gateway {
	switch p.restarts {
	case restartsAll:
		return d.world.Gateways
	case restartsOne:
		return d.world.Gateways[p.gateway : p.gateway+1]
	}
	return nil
}

// restart starts gateways anew.
func (d *Departures) restart(p departurePlan) error {
	list := d.restarted(p)
	for _, g := range list {
		g.Signal(syscall.SIGKILL)
	}
	for _, g := range list {
		if err := g.End(); err != nil {
			return err
		}
	}
	for _, g := range list {
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}
