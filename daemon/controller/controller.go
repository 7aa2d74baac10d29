package controller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/follow"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
	"github.com/sycamorecourse/sycamorecourse/serving/spread"
)

// maxDuties bounds the number of duties in the thread group of a controller.
const maxDuties = 128

// Controller runs the duties of a controller process and holds the rings
// between them.
type Controller struct {
	settings *Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	// incarnation is the start time of the process in nanoseconds, so it increases
	// with each start.
	incarnation uint64
	group       *thread.Group
	report      *report.Report
	operators   *operators
	planner     *planner
	store       *store
	fleet       *fleetDuty
	orders      *ordersDuty
	rollout     *rollout
	// links is nil when no link address is configured.
	links *links
	admin *httpd.Server
	api   *httpd.Server
	// httpClients are the clients of the platform's services and of engines; none
	// when the platform was passed to New.
	httpClients []*httpc.Client
}

// New makes a controller that uses the services of a platform. Open starts its
// servers and Run its duties.
func New(s *Settings, log zerolog.Logger, platform Platform, release string) *Controller {
	registry := prometheus.NewRegistry()
	group := thread.NewGroup(maxDuties)
	clk := clock.System{}
	c := &Controller{settings: s, log: log, group: group, registry: registry, incarnation: uint64(time.Now().UnixNano())}
	c.planner = newPlanner(s, log, clk, time.Now)
	c.operators = newOperators(c.planner.inbox, log, clk, s.DrainTimeout)
	c.store = newStore(platform.Table, clk, time.Now)
	c.rollout = newRollout(c.planner.inbox)
	holder := lease.Holder{Instance: s.Instance, Incarnation: c.incarnation}
	c.fleet = newFleetDuty(s, log, platform.Table, platform.Cloud, holder, clk, time.Now)
	c.orders = newOrdersDuty(s, log, platform.Engines, clk)
	c.connect(newCounters(registry))
	self := spread.Member{ID: Role + "/" + s.Instance, Role: Role, FailureDomain: s.FailureDomain, State: spread.Live}
	c.planner.processes.replace([]spread.Member{self})
	c.setPublisher(standalone{self: self.ID})
	c.report = report.New(report.Process{Role: Role, Instance: s.Instance, FailureDomain: s.FailureDomain, Release: release}, registry, group)
	c.registerDumps()
	c.admin = httpd.New(httpd.Config{Address: s.AdminAddress, Pollers: 1}, c.report)
	c.api = httpd.New(httpd.Config{Address: s.OperatorsAddress, Pollers: 1}, c.operators)
	return c
}

// connect gives each duty the rings of the duties that it sends to.
func (c *Controller) connect(counters *counters) {
	c.store.planner = c.planner.inbox
	c.planner.store = c.store.inbox
	c.planner.operators = c.operators.inbox
	c.planner.fleetInbox = c.fleet.inbox
	c.planner.rollout = c.rollout.inbox
	c.planner.counters = counters
	c.fleet.planner = c.planner.inbox
	c.fleet.orders = c.orders.inbox
	c.fleet.counters = counters
	c.orders.fleet = c.fleet.inbox
	c.orders.counters = counters
}

// setPublisher sets how configurations and instances reach the other processes.
func (c *Controller) setPublisher(p publisher) {
	c.planner.publisher = p
	c.fleet.publisher = p
}

// EnableLinks makes the controller exchange updates with other processes over
// links. It must be called before Open, and fails with a *keys.LoadError.
func (c *Controller) EnableLinks() error {
	l, err := newLinks(c.settings, c.incarnation, c.planner.inbox, c.fleet.inbox, c.log, c.registry)
	if err != nil {
		return err
	}
	c.links = l
	c.setPublisher(l.follow)
	c.report.AddRing(l.follow.RingStats)
	c.report.AddRing(l.link.RingStats)
	c.report.AddSource(follow.SectionName, l.follow.Dump)
	return nil
}

// registerDumps adds the rings and the state of all duties to the report.
func (c *Controller) registerDumps() {
	c.report.AddRing(c.operators.inbox.Stats)
	c.report.AddRing(c.planner.inbox.Stats)
	c.report.AddRing(c.store.inbox.Stats)
	c.report.AddRing(c.fleet.inbox.Stats)
	c.report.AddRing(c.orders.inbox.Stats)
	c.report.AddRing(c.rollout.inbox.Stats)
	c.report.AddSource("fleet", func(reply *ring.Ring[report.Section]) error {
		return c.fleet.inbox.Offer(fleetEvent{dump: reply})
	})
	c.report.AddSource("orders", func(reply *ring.Ring[report.Section]) error {
		return c.orders.inbox.Offer(ordersEvent{dump: reply})
	})
	c.report.AddSource("operators", func(reply *ring.Ring[report.Section]) error {
		return c.operators.inbox.Offer(operatorsEvent{dump: reply})
	})
	c.report.AddSource("planner", func(reply *ring.Ring[report.Section]) error {
		return c.planner.inbox.Offer(plannerEvent{dump: reply})
	})
	c.report.AddSource("store", func(reply *ring.Ring[report.Section]) error {
		return c.store.inbox.Offer(storeEvent{dump: reply})
	})
}

// Open starts the servers and opens the links.
func (c *Controller) Open() error {
	if err := c.admin.Open(); err != nil {
		return err
	}
	if err := c.api.Open(); err != nil {
		c.admin.Close()
		return err
	}
	if err := c.openLinks(); err != nil {
		c.api.Close()
		c.admin.Close()
		return err
	}
	c.log.Info().Str("instance", c.settings.Instance).Str("failure_domain", c.settings.FailureDomain).
		Str("admin", c.admin.Address()).Str("operators", c.api.Address()).Str("link", c.linkAddress()).Msg("controller_started")
	return nil
}

func (c *Controller) openLinks() error {
	if c.links == nil {
		return nil
	}
	return c.links.open(c.group)
}

// OperatorsAddress returns the address of the operators' API. It is known after
// Open.
func (c *Controller) OperatorsAddress() string {
	return c.api.Address()
}

// AdminAddress returns the address of health, metrics and the state dump. It is
// known after Open.
func (c *Controller) AdminAddress() string {
	return c.admin.Address()
}

// Stop begins a graceful shutdown: pending requests are answered and new ones
// rejected. A second call ends the shutdown at once. It may be called from any
// thread.
func (c *Controller) Stop() {
	c.operators.stop()
	if c.links != nil {
		// If the ring is full, the other processes notice the shutdown when the links
		// close.
		_ = c.links.follow.SetLeaving()
	}
}

// Run runs the duties until a shutdown is complete or one of them fails.
func (c *Controller) Run() error {
	c.group.Start("report", c.report.Run)
	c.group.Start("operators", c.operators.run)
	c.group.Start("planner", c.planner.run)
	c.group.Start("store", c.store.run)
	c.group.Start("rollout", c.rollout.run)
	c.group.Start("fleet", c.fleet.run)
	c.group.Start("orders", c.orders.run)
	for _, client := range c.httpClients {
		c.group.Start(client.Stats().Name, client.Run)
	}
	// In a shutdown the operators duty returns once all requests are answered,
	// then the fleet duty once its lease is released. Any other return of a duty
	// is a failure.
	if c.awaitDuty() && c.fleet.inbox.OfferReserved(fleetEvent{stop: true}) == nil {
		c.awaitDuty()
	}
	return c.close()
}

// awaitDuty waits until a duty returns and reports whether it returned without
// an error.
func (c *Controller) awaitDuty() bool {
	ended, err := c.group.WaitAny()
	if err != nil || ended.Err == nil {
		return err == nil
	}
	c.log.Error().Str("duty", ended.Duty).Str("cause", ended.Err.Error()).Msg("duty_failed")
	return false
}

func (c *Controller) close() error {
	c.operators.inbox.Close()
	c.planner.inbox.Close()
	c.store.inbox.Close()
	c.fleet.inbox.Close()
	c.orders.inbox.Close()
	c.rollout.inbox.Close()
	if c.links != nil {
		_ = c.links.follow.SetGone()
		c.links.close()
	}
	c.report.Close()
	for _, client := range c.httpClients {
		client.Close()
	}
	err := c.group.Join()
	c.api.Close()
	c.admin.Close()
	c.log.Info().Msg("controller_ended")
	return err
}
