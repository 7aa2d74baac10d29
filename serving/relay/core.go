package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/quarantine"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

// Core is the state machine of all requests of one gateway. Its methods must be
// called by one thread.
type Core struct {
	config   Config
	catalog  *catalog.Catalog
	pools    map[string]*pool
	requests map[Handle]*requestState
	timers   timers
	// limits are the customers' limits.
	limits *limit.Table
	// rollouts divides requests between versions of a service.
	rollouts *rollout.Tracker
	// quarantine finds the prompt parts that crash upstreams.
	quarantine *quarantine.Tracker
	gateways   int
	// drainUntil is when the drain of this gateway ends; 0 if it is not draining.
	drainUntil clock.Instant
	// longStreamsUntil is until when streams that may outlast the drain are accepted.
	longStreamsUntil clock.Instant
	// readyPeers is the number of other gateways that take requests.
	readyPeers int
	// upstreamsAt is when the list of upstreams was last known to be current.
	upstreamsAt clock.Instant
	counts      Counts
	actions     []Action
}

// assumedGateways is the number of gateways that limits and budgets are divided
// by until SetDivision is called.
const assumedGateways = 10

// defaultLimitWindow is the LimitWindow of a Config that sets none.
const defaultLimitWindow = 8 * time.Second

// New returns a Core without a configuration or upstreams. It refuses all
// requests until Configure is called.
func New(config Config) *Core {
	if config.LimitWindow <= 0 {
		config.LimitWindow = defaultLimitWindow
	}
	gateways := 1
	if config.GatewayCountUnknown {
		gateways = assumedGateways
	}
	return &Core{
		config:   config,
		pools:    make(map[string]*pool),
		requests: make(map[Handle]*requestState),
		limits: limit.NewTable(limit.Config{
			Window: config.LimitWindow, Overage: config.LimitOverage, Slack: config.LimitSlack, IsAlone: !config.GatewayCountUnknown,
		}),
		gateways:   gateways,
		quarantine: quarantine.NewTracker(),
		rollouts:   rollout.NewTracker(),
	}
}

// Actions returns the pending actions in order and clears them.
func (c *Core) Actions() []Action {
	list := c.actions
	c.actions = nil
	return list
}

// Configure applies a configuration. It ignores one that is not newer than the
// current one.
func (c *Core) Configure(next *catalog.Catalog, now clock.Instant) {
	if c.catalog != nil && next.Version <= c.catalog.Version {
		return
	}
	c.catalog = next
	c.limits.Configure(next.Customers, now)
}

// SetUpstreams replaces the list of upstreams that may get requests.
func (c *Core) SetUpstreams(list []*catalog.Upstream, now clock.Instant) {
	c.upstreamsAt = now
	services := make(map[string]map[string]*catalog.Upstream)
	for _, u := range list {
		if services[u.Service] == nil {
			services[u.Service] = make(map[string]*catalog.Upstream)
		}
		services[u.Service][u.ID] = u
	}
	for name := range services {
		if c.pools[name] == nil {
			c.pools[name] = newPool(name, c.config)
		}
	}
	for name, p := range c.pools {
		p.setUpstreams(services[name], now)
	}
}

// ConfirmUpstreams records that the list of upstreams is still current.
func (c *Core) ConfirmUpstreams(now clock.Instant) {
	c.upstreamsAt = now
}

// SetDivision sets the number of gateways and what is known of their use of the
// customers' limits.
func (c *Core) SetDivision(d cluster.Division, now clock.Instant) {
	c.gateways = max(d.Gateways, 1)
	c.limits.SetDivision(d.Limits, now)
}

// Drain makes the Core refuse requests that may not end by an instant, when this
// gateway stops. Up to an earlier instant it accepts streams that may last longer, if
// no other gateway can take them.
func (c *Core) Drain(until, longStreamsUntil clock.Instant) {
	c.drainUntil = until
	c.longStreamsUntil = longStreamsUntil
}

// End refuses all further requests, since the process is about to end, and uses nothing of
// customers' limits any more.
func (c *Core) End(now clock.Instant) {
	c.Drain(now, now)
	c.limits.End()
}

// Stop ends all requests in progress, when this gateway ends before them.
func (c *Core) Stop(now clock.Instant) {
	c.End(now)
	for _, s := range c.requests {
		c.stopRequest(s, now)
	}
}

// SetReadyPeers sets the number of other gateways that take requests.
func (c *Core) SetReadyPeers(peers int) {
	c.readyPeers = peers
}

// SetRetryBudget replaces the limits of retries; see Config.
func (c *Core) SetRetryBudget(ratio float64, extra int, window time.Duration) {
	c.config.RetryRatio, c.config.RetryExtra, c.config.RetryWindow = ratio, extra, window
	for _, p := range c.pools {
		p.budget.ratio, p.budget.extra, p.budget.window = ratio, extra, window
	}
}

// OpenRequests returns the number of requests in progress.
func (c *Core) OpenRequests() int {
	return len(c.requests)
}

// Counts returns the totals since the start.
func (c *Core) Counts() Counts {
	return c.counts
}

// NextTick returns the time until Tick is due, but at most the limit.
func (c *Core) NextTick(now clock.Instant, limit time.Duration) time.Duration {
	if len(c.timers) == 0 {
		return limit
	}
	return min(max(c.timers[0].at.Sub(now), 0), limit)
}

// Tick handles the timers that are due.
func (c *Core) Tick(now clock.Instant) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].at) {
		due := c.timers[0]
		c.timers.removeFirst()
		if s := c.requests[due.handle]; s != nil {
			c.checkDeadlines(s, now)
		}
	}
}

// checkDeadlines times out a request that is past its deadline, and retries one
// whose upstream is too slow.
func (c *Core) checkDeadlines(s *requestState, now clock.Instant) {
	if !now.Before(s.deadline) {
		c.timeOut(s, now)
		return
	}
	a := s.attempt
	if a == nil || a.retryAt == 0 {
		return
	}
	if now.Before(a.retryAt) {
		c.timers.add(timer{at: a.retryAt, handle: s.request.Handle})
		return
	}
	c.retrySlow(s, now)
}

// emit appends an action for the owner of the Core.
func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}
