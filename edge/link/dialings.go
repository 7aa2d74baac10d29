package link

import (
	"math/rand/v2"
	"time"
)

// dialings plans the attempts to connect to all targets.
type dialings struct {
	config    *Config
	byAddress map[string]*dialing
}

func newDialings(config *Config) *dialings {
	return &dialings{config: config, byAddress: make(map[string]*dialing)}
}

// set replaces the targets. Those that stay keep their backoff.
func (p *dialings) set(targets []Target) {
	next := make(map[string]*dialing, len(targets))
	for _, t := range targets {
		d, ok := p.byAddress[t.Address]
		if !ok {
			d = &dialing{backoff: backoff{base: p.config.RetryBase, max: p.config.RetryMax}}
		}
		d.target = t
		next[t.Address] = d
	}
	p.byAddress = next
}

// has reports whether an address is that of a target.
func (p *dialings) has(address string) bool {
	return p.byAddress[address] != nil
}

// failed plans the next attempt to connect to a target.
func (p *dialings) failed(t Target) {
	if d, ok := p.byAddress[t.Address]; ok {
		d.busy = false
		d.due = time.Now().Add(d.backoff.next())
	}
}

// crowded plans the next attempt to connect to a target that had no room. The
// wait does not grow: room comes when other visitors are released.
func (p *dialings) crowded(t Target) {
	if d, ok := p.byAddress[t.Address]; ok {
		d.busy = false
		d.due = time.Now().Add(crowdedRetry/2 + rand.N(crowdedRetry/2))
	}
}

// succeeded ends an attempt. If the link ends, the next attempt waits a little.
func (p *dialings) succeeded(t Target) {
	if d, ok := p.byAddress[t.Address]; ok {
		d.busy = false
		d.backoff.retries = 0
		d.due = time.Now().Add(d.backoff.next())
	}
}

// wait returns the time until the next attempt is due.
func (p *dialings) wait(now time.Time, isLinked func(Target) bool) time.Duration {
	wait := idleWait
	for _, d := range p.byAddress {
		if !d.busy && !isLinked(d.target) {
			wait = min(wait, d.due.Sub(now))
		}
	}
	return max(wait, 0)
}

// start calls offer for each target whose time has come. When offer returns
// false, the target is offered again after a while.
func (p *dialings) start(now time.Time, isLinked, offer func(Target) bool) {
	for _, d := range p.byAddress {
		if d.busy || d.due.After(now) || isLinked(d.target) {
			continue
		}
		d.busy = offer(d.target)
		d.due = now.Add(p.config.RetryBase)
	}
}
