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

// dutyCount bounds the duties of a controller.
const dutyCount = 128

// Controller is the controller role: its duties and the rings between them.
type Controller struct {
	settings *Settings
	log      zerolog.Logger
	registry *prometheus.Registry
	// incarnation grows with each start of the process.
	incarnation uint64
	group       *thread.Group
	report      *report.Report
	operators   *operators
	planner     *planner
	store       *store
	fleet       *fleetDuty
	orders      *ordersDuty
	rollout     *rollout
	// links is nil without an address for them.
	links *links
	admin *httpd.Server
	api   *httpd.Server
	// platform is nil when the table was handed in.
	platform *httpc.Client
}

// New makes a controller on a platform. Open starts its servers and Run its
// duties.
func New(s *Settings, log zerolog.Logger, platform Platform, release string) *Controller {
	registry := prometheus.NewRegistry()
	group := thread.NewGroup(dutyCount)
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
	c.planner.processes.set([]spread.Member{self})
	c.follow(alone{self: self.ID})
	c.report = report.New(report.Process{Role: Role, Instance: s.Instance, FailureDomain: s.FailureDomain, Release: release}, registry, group)
	c.describe()
	c.admin = httpd.New(httpd.Config{Address: s.AdminAddress, Pollers: 1}, c.report)
	c.api = httpd.New(httpd.Config{Address: s.OperatorsAddress, Pollers: 1}, c.operators)
	return c
}

// connect joins the duties by their rings.
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

// follow sets how the other processes are told and asked.
func (c *Controller) follow(f followers) {
	c.planner.followers = f
	c.fleet.followers = f
}

// Link makes the controller open links to other processes. It comes before
// Open, and fails with a *keys.LoadError.
func (c *Controller) Link() error {
	l, err := newLinks(c.settings, c.incarnation, c.planner.inbox, c.fleet.inbox, c.log, c.registry)
	if err != nil {
		return err
	}
	c.links = l
	c.follow(l.follow)
	c.report.AddRing(l.follow.RingStats)
	c.report.AddRing(l.link.RingStats)
	c.report.AddSource(follow.SectionName, l.follow.Dump)
	return nil
}

// describe makes the duties part of the dump.
func (c *Controller) describe() {
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

// Open starts the servers.
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

// OperatorsAddress returns where the operators' API is served, known after
// Open.
func (c *Controller) OperatorsAddress() string {
	return c.api.Address()
}

// AdminAddress returns where the dump is served, known after Open.
func (c *Controller) AdminAddress() string {
	return c.admin.Address()
}

// Stop begins a graceful shutdown: open requests are answered and no others
// taken. A second call ends it at once. Any thread may call it.
func (c *Controller) Stop() {
	c.operators.stop()
	if c.links != nil {
		// Without room the other processes learn of the end from the links.
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
	if c.platform != nil {
		c.group.Start("platform-http", c.platform.Run)
	}
	// The operators duty ends when all requests are answered, then the fleet
	// duty when its lease is released. Any other end is a failure.
	if c.awaitEnd() && c.fleet.inbox.OfferReserved(fleetEvent{stop: true}) == nil {
		c.awaitEnd()
	}
	return c.close()
}

// awaitEnd waits for the end of a duty and reports whether it was an ordinary
// one.
func (c *Controller) awaitEnd() bool {
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
	if c.platform != nil {
		c.platform.Close()
	}
	err := c.group.Join()
	c.api.Close()
	c.admin.Close()
	c.log.Info().Msg("controller_ended")
	return err
}
