package dispatch

import (
	"container/heap"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/retry"
	"github.com/sycamorecourse/sycamorecourse/serving/admit"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/intent"
	"github.com/sycamorecourse/sycamorecourse/serving/request"
	"github.com/sycamorecourse/sycamorecourse/serving/route"
)

// Core holds all requests of a gateway and decides what happens to them. One
// thread owns it.
type Core struct {
	cfg       Config
	catalog   *catalog
	router    *route.Router
	queue     *admit.Queue
	entries   map[request.ID]*entry
	bySeq     map[uint64]*entry
	instances map[string]fleet.Instance
	routed    map[string]bool // instances that the router knows
	budget    *retry.Budget
	lookups   map[request.ID]*lookup
	timers    timers
	lastSeq   uint64
	lastNonce uint64
	gateways  int
	isLeaving bool
	actions   []Action
	counts    Counts
}

// New makes a Core without a configuration: it refuses all requests until
// Configure.
func New(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:       cfg,
		router:    route.New(cfg.Route),
		queue:     admit.New(cfg.Queue),
		entries:   make(map[request.ID]*entry),
		bySeq:     make(map[uint64]*entry),
		lookups:   make(map[request.ID]*lookup),
		instances: make(map[string]fleet.Instance),
		routed:    make(map[string]bool),
		budget:    newBudget(cfg.Retry),
		gateways:  1,
	}
}

// Actions returns what is to be done since the last call, in order.
func (c *Core) Actions() []Action {
	list := c.actions
	c.actions = nil
	return list
}

// Configure takes a confirmed configuration. One that is not newer than the
// present one is ignored.
func (c *Core) Configure(configuration *intent.Configuration, now clock.Instant) {
	if c.catalog != nil && configuration.Version <= c.catalog.version {
		return
	}
	c.catalog = newCatalog(configuration)
	c.shareLimits()
	c.chooseSubsets()
	c.pump(now)
}

// chooseSubsets routes anew to all pools, known instances' pools included.
func (c *Core) chooseSubsets() {
	pools := make(map[name]bool)
	for _, instance := range c.instances {
		pools[name{instance.Member, instance.Pool}] = true
	}
	for pool := range pools {
		c.chooseSubset(pool)
	}
}

// newBudget makes a retry budget that is full, so that a gateway with few
// requests can make the first retries at once.
func newBudget(cfg retry.Config) *retry.Budget {
	b := retry.NewBudget(cfg)
	for b.Left() < cfg.Burst {
		b.Earn()
	}
	return b
}

// SetGateways tells the number of live gateways, this one included, that share
// the limits of the customers.
func (c *Core) SetGateways(n int) {
	if n < 1 || n == c.gateways {
		return
	}
	c.gateways = n
	c.shareLimits()
}

// ConfigurationVersion returns the version in force, 0 before the first.
func (c *Core) ConfigurationVersion() uint64 {
	if c.catalog == nil {
		return 0
	}
	return c.catalog.version
}

// Leave refuses all requests that arrive from now on.
func (c *Core) Leave() {
	c.isLeaving = true
}

// IsIdle reports whether no request is open and no record is being written or
// read.
func (c *Core) IsIdle() bool {
	if len(c.lookups) > 0 {
		return false
	}
	for _, e := range c.entries {
		if e.isTracked() {
			return false
		}
	}
	return true
}

// Tick looks at all deadlines that have passed.
func (c *Core) Tick(now clock.Instant) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].at) {
		t, ok := heap.Pop(&c.timers).(timer)
		if !ok {
			continue
		}
		if e := c.entries[t.id]; e != nil && e.seq == t.seq {
			c.look(e, now)
		}
	}
	c.expire(now)
	c.pump(now)
}

// NextTick returns how long Tick need not be called, at most limit.
func (c *Core) NextTick(now clock.Instant, limit time.Duration) time.Duration {
	wait := limit
	if len(c.timers) > 0 {
		wait = min(wait, c.timers[0].at.Sub(now))
	}
	if at, ok := c.queue.NextDeadline(); ok {
		// An entry expires after its deadline, not at it.
		wait = min(wait, at.Sub(now)+time.Millisecond)
	}
	return max(wait, 0)
}

// look acts on what is due for one request.
func (c *Core) look(e *entry, now clock.Instant) {
	switch {
	case e.phase == phaseEnded:
		if !e.pending && !now.Before(e.ended.Add(c.cfg.Retention)) {
			c.forget(e)
		} else {
			c.wake(e, now.Add(c.cfg.Retention))
		}
	case !now.Before(e.deadline):
		c.giveUp(e, request.DeadlineUnmet, "the deadline has passed", now)
	case e.isDetached && e.request.Idempotent && !now.Before(e.detachedAt.Add(c.cfg.ResumeGrace)):
		c.giveUp(e, request.Canceled, "the caller is gone", now)
	}
}

// expire refuses the requests that waited in the queue for too long.
func (c *Core) expire(now clock.Instant) {
	for _, dropped := range c.queue.DropExpired(now) {
		e := c.bySeq[dropped.Entry.ID]
		if e == nil || e.phase != phaseQueued {
			continue
		}
		if dropped.Reason == request.Overloaded && e.isAccepted {
			// An accepted request waits for its next attempt whatever the load.
			c.requeue(e, now)
			continue
		}
		c.endRefused(e, dropped.Reason, "waited too long for an upstream", now)
	}
}

func (c *Core) wake(e *entry, at clock.Instant) {
	heap.Push(&c.timers, timer{at: at, id: e.request.ID, seq: e.seq})
}

func (c *Core) forget(e *entry) {
	delete(c.entries, e.request.ID)
	delete(c.bySeq, e.seq)
	c.do(Forget{ID: e.request.ID})
}

func (c *Core) do(a Action) {
	c.actions = append(c.actions, a)
}

// shareLimits gives this gateway its part of the limits of each customer.
func (c *Core) shareLimits() {
	if c.catalog == nil {
		return
	}
	customers := make([]admit.Customer, 0, len(c.catalog.customers))
	for _, customer := range c.catalog.customers {
		customer.RequestsPerSecond /= float64(c.gateways)
		if customer.MaxConcurrent > 0 {
			customer.MaxConcurrent = max(1, customer.MaxConcurrent/c.gateways)
		}
		customers = append(customers, customer)
	}
	c.queue.SetCustomers(customers)
}
