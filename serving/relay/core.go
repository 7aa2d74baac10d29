package relay

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
)

// Core is the state machine of all requests of one gateway.
type Core struct {
	config   Config
	catalog  *catalog.Catalog
	pools    map[string]*pool
	states   map[Handle]*state
	timers   timers
	meters   map[string]*meter
	division cluster.Division
	// isDivided is set once it is known how many gateways there are, and calmFrom
	// is when this gateway knows enough to let customers use a window's part at once.
	isDivided bool
	calmFrom  clock.Instant
	demands   map[string]*demand
	gateways  int
	// leaveAt is when a gateway that stops ends; 0 while it does not stop.
	leaveAt clock.Instant
	others  int
	viewed  clock.Instant
	counts  Counts
	actions []Action
}

// assumedGateways divide limits and budgets until Divide tells how many there
// are.
const assumedGateways = 10

// defaultLimitWindow counts limits where the configuration names no window.
const defaultLimitWindow = 8 * time.Second

// New makes a core that knows of no configuration and no upstream.
func New(config Config) *Core {
	if config.LimitWindow <= 0 {
		config.LimitWindow = defaultLimitWindow
	}
	gateways := 1
	if config.Unconfirmed {
		gateways = assumedGateways
	}
	return &Core{
		config:   config,
		pools:    make(map[string]*pool),
		states:   make(map[Handle]*state),
		meters:   make(map[string]*meter),
		demands:  make(map[string]*demand),
		gateways: gateways,
	}
}

// Actions returns what is to be done, in order, and forgets it.
func (c *Core) Actions() []Action {
	list := c.actions
	c.actions = nil
	return list
}

// Configure takes a configuration. An older one than known changes nothing.
func (c *Core) Configure(next *catalog.Catalog, now clock.Instant) {
	if c.catalog != nil && next.Version <= c.catalog.Version {
		return
	}
	c.catalog = next
	for name, m := range c.meters {
		customer := next.Customers[name]
		if customer == nil || customer.Rate <= 0 {
			delete(c.meters, name)
			continue
		}
		m.configure(customer, c.gateways)
	}
}

// SetUpstreams replaces the upstreams that may get requests.
func (c *Core) SetUpstreams(list []*catalog.Upstream, now clock.Instant) {
	c.viewed = now
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
		p.set(services[name])
	}
}

// Confirm notes that the list of upstreams was still true at an instant.
func (c *Core) Confirm(now clock.Instant) {
	c.viewed = now
}

// Divide sets the number of gateways and this one's part of the limits of
// customers.
func (c *Core) Divide(d cluster.Division, now clock.Instant) {
	if !c.isDivided || d.WasStale {
		c.calmFrom = now.Add(c.config.LimitWindow)
	}
	c.isDivided = true
	c.gateways, c.division = max(d.Gateways, 1), d
	for name, m := range c.meters {
		m.share, m.slack = c.share(name), c.slack()
		if c.catalog != nil && c.catalog.Customers[name] != nil {
			m.configure(c.catalog.Customers[name], c.gateways)
		}
	}
}

// isCalm reports whether a customer is known to be far below its limit, over all
// gateways. A gateway that has just started or returned does not know.
func (c *Core) isCalm(m *meter, customer *catalog.Customer, now clock.Instant) bool {
	isKnown := c.isDivided && !c.division.Stale && !now.Before(c.calmFrom)
	return isKnown && m.isCalm(m.usedShare(c.division.Demand[customer.Name], customer))
}

// Leave makes the core refuse requests that may not end by an instant.
func (c *Core) Leave(until clock.Instant) {
	c.leaveAt = until
}

// SetOthers sets how many other gateways take requests.
func (c *Core) SetOthers(others int) {
	c.others = others
}

// SetBudget replaces the bounds of what may be sent once more.
func (c *Core) SetBudget(ratio float64, extra int, window time.Duration) {
	c.config.RetryRatio, c.config.RetryExtra, c.config.RetryWindow = ratio, extra, window
	for _, p := range c.pools {
		p.budget.ratio, p.budget.extra, p.budget.window = ratio, extra, window
	}
}

// Open returns the number of requests in progress.
func (c *Core) Open() int {
	return len(c.states)
}

// Counts returns the totals.
func (c *Core) Counts() Counts {
	return c.counts
}

// NextTick returns how long to wait until Tick is due, at most the limit.
func (c *Core) NextTick(now clock.Instant, limit time.Duration) time.Duration {
	if len(c.timers) == 0 {
		return limit
	}
	return min(max(c.timers[0].at.Sub(now), 0), limit)
}

// Tick acts on what is due.
func (c *Core) Tick(now clock.Instant) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].at) {
		due := c.timers[0]
		c.timers.removeFirst()
		if s := c.states[due.handle]; s != nil {
			c.look(s, now)
		}
	}
}

// look acts on the limits of one request.
func (c *Core) look(s *state, now clock.Instant) {
	if !now.Before(s.limit) {
		c.timeOut(s, now)
		return
	}
	a := s.attempt
	if a == nil || a.giveUp == 0 {
		return
	}
	if now.Before(a.giveUp) {
		c.timers.add(timer{at: a.giveUp, handle: s.request.Handle})
		return
	}
	c.tooSlow(s, now)
}

func (c *Core) do(a Action) {
	c.actions = append(c.actions, a)
}

// slack is this gateway's part of the slack of a limit.
func (c *Core) slack() float64 {
	return min(slackPart, slackShare/float64(c.gateways)) * c.config.LimitSlack
}

func (c *Core) share(customer string) float64 {
	if share, ok := c.division.Shares[customer]; ok {
		return share
	}
	return 1 / float64(c.gateways)
}
