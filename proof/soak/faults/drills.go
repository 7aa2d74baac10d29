package faults

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
	"github.com/sycamorecourse/sycamorecourse/standin/duties"
)

// Drills restores the store from older copies, mostly to before a takeover of the duties.
// One thread uses it.
type Drills struct {
	world    *world.World
	random   *rand.Rand
	patience time.Duration
	log      zerolog.Logger
	started  time.Time
}

// NewDrills makes the drills of a seed. Somebody has to take the duties over within
// patience of each outage. What it does is logged.
func NewDrills(w *world.World, seed uint64, patience time.Duration, log zerolog.Logger) *Drills {
	return &Drills{world: w, random: rand.New(rand.NewPCG(seed, 10)), patience: patience, log: log}
}

// Run begins outages and drills for the given time, and removes all faults. It fails with
// a *StandstillError if nobody takes the duties over.
func (d *Drills) Run(length time.Duration) error {
	d.started = time.Now()
	first, err := d.await("the start", func(duties.UsageReport) bool { return true })
	if err != nil {
		return err
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		if err := d.play(drawDrillPlan(d.random), first); err != nil {
			return err
		}
		if first, err = d.last(); err != nil {
			return err
		}
	}
	return nil
}

// play carries out a plan, given the last report.
func (d *Drills) play(p drillPlan, last duties.UsageReport) error {
	holder, err := d.gateway(last.Holder)
	if err != nil {
		return err
	}
	o := outagesOf(holder)[p.outage]
	begun := time.Now()
	if err := d.step(o.name, o.begin); err != nil {
		return err
	}
	if p.waits {
		isOther := func(r duties.UsageReport) bool { return r.Holder != last.Holder }
		if _, err := d.await(o.name, isOther); err != nil {
			return err
		}
	}
	if p.end == beforeDrill {
		if err := d.step("end of "+o.name, o.end); err != nil {
			return err
		}
	}
	world.Pause(p.pause)
	if p.waits {
		p.drills[0].Age = min(max(time.Since(begun)+p.lead, shortestAge), longestAge)
	}
	return d.drill(p, o)
}

// drill carries out the drills of a plan, and ends its outage if that has not ended.
func (d *Drills) drill(p drillPlan, o outage) error {
	for i, next := range p.drills {
		start := func() error { return world.Posted(d.world.Store, func() { d.world.Store.StartDrill(next) }) }
		if err := d.step(fmt.Sprintf("drill %+v", next), start); err != nil {
			return err
		}
		back := time.Now().Add(next.Away)
		if p.end == duringDrill && i == 0 {
			world.Pause(next.Away / 2)
			if err := d.step("end of "+o.name, o.end); err != nil {
				return err
			}
		}
		if err := d.awaitStore(back); err != nil {
			return err
		}
		world.Pause(p.rest)
	}
	if p.end == afterDrill {
		return d.step("end of "+o.name, o.end)
	}
	return nil
}

// awaitStore waits until the store is back from a drill.
func (d *Drills) awaitStore(back time.Time) error {
	world.Pause(time.Until(back) + tick)
	return world.Posted(d.world.Store, func() {
		d.log.Info().Dur("at_ms", time.Since(d.started)).Uint64("era", d.world.Store.Era()).Msg("store_back")
	})
}

// last returns the last report that was accepted, if there is one.
func (d *Drills) last() (duties.UsageReport, error) {
	reports, err := d.world.Reports()
	if err != nil || len(reports) == 0 {
		return duties.UsageReport{}, err
	}
	return reports[len(reports)-1], nil
}

// await waits for a last report as wanted, since something that happened just now.
func (d *Drills) await(since string, isWanted func(duties.UsageReport) bool) (duties.UsageReport, error) {
	for until := time.Now().Add(d.patience); time.Now().Before(until); world.Pause(tick) {
		last, err := d.last()
		if err != nil {
			return last, err
		}
		if last.Holder != "" && isWanted(last) {
			d.log.Info().Dur("at_ms", time.Since(d.started)).Str("holder", last.Holder).Uint64("fence", last.Fence).Msg("reports")
			return last, nil
		}
	}
	return duties.UsageReport{}, &StandstillError{Since: since, Patience: d.patience}
}

func (d *Drills) gateway(name string) (*world.Gateway, error) {
	for _, g := range d.world.Gateways {
		if g.Name == name {
			return g, nil
		}
	}
	return nil, &UnknownHolderError{Name: name}
}

func (d *Drills) step(name string, do func() error) error {
	d.log.Info().Dur("at_ms", time.Since(d.started)).Str("step", name).Msg("step")
	return do()
}
