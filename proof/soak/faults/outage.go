package faults

import (
	"syscall"
	"time"

	"github.com/sycamorecourse/sycamorecourse/proof/soak/world"
)

// outage is a fault that takes the duties away from a gateway, until it ends.
type outage struct {
	name       string
	begin, end func() error
}

// outagesOf returns the outages that a gateway may have.
func outagesOf(g *world.Gateway) []outage {
	signal := func(s syscall.Signal) func() error {
		return func() error { g.Signal(s); return nil }
	}
	return []outage{
		{name: "SIGKILL " + g.Name, begin: signal(syscall.SIGKILL), end: func() error { return startAgain(g) }},
		{name: "SIGSTOP " + g.Name, begin: signal(syscall.SIGSTOP), end: signal(syscall.SIGCONT)},
		{name: "cut store of " + g.Name, begin: g.Store.Cut, end: g.Store.Heal},
		{name: "SIGTERM " + g.Name, begin: signal(syscall.SIGTERM), end: func() error { return startAgain(g) }},
	}
}

// startAgain starts a gateway that got a signal to end, once it has ended or its grace
// time is over.
func startAgain(g *world.Gateway) error {
	for until := time.Now().Add(world.Grace); g.IsRunning() && time.Now().Before(until); {
		world.Pause(tick)
	}
	g.Signal(syscall.SIGKILL)
	for g.IsRunning() {
		world.Pause(tick)
	}
	return g.Start()
}
