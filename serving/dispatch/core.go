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

// Core is the state machine of all requests of a gateway. One thread owns it.
type Core struct {
	cfg          Config
	catalog      *catalog
	router       *route.Router
	queue        *admit.Queue
	entries      map[request.ID]*entry
	bySeq        map[uint64]*entry // the same entries by seq
	instances    map[string]fleet.Instance
	routed       map[string]bool // IDs of the instances that the router has
	retryBudget  *retry.Budget
	lookups      map[request.ID]*lookup
	timers       timers
	lastSeq      uint64
	lastNonce    uint64 // of the last claim
	gatewayCount int
	isDraining   bool
	actions      []Action
	counts       Counts
}

// New returns a Core without a configuration. It refuses all requests until
// Configure is called.
func New(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:          cfg,
		router:       route.New(cfg.Route),
		queue:        admit.New(cfg.Queue),
		entries:      make(map[request.ID]*entry),
		bySeq:        make(map[uint64]*entry),
		lookups:      make(map[request.ID]*lookup),
		instances:    make(map[string]fleet.Instance),
		routed:       make(map[string]bool),
		retryBudget:  newRetryBudget(cfg.Retry),
		gatewayCount: 1,
	}
}

// Actions returns the actions since the last call, in the order in which they
// are to be carried out.
func (c *Core) Actions() []Action {
	list := c.actions
	c.actions = nil
	return list
}

// Configure puts a confirmed configuration into force. It ignores one that is
// not newer than the present one.
func (c *Core) Configure(configuration *intent.Configuration, now clock.Instant) {
	if c.catalog != nil && configuration.Version <= c.catalog.version {
		return
	}
	c.catalog = newCatalog(configuration)
	c.divideLimits()
	c.chooseSubsets()
	c.startQueued(now)
}

// chooseSubsets chooses the subset of every pool that has known instances, also
// of pools that are no longer configured.
func (c *Core) chooseSubsets() {
	pools := make(map[qualifiedName]bool)
	for _, instance := range c.instances {
		pools[qualifiedName{instance.Member, instance.Pool}] = true
	}
	for pool := range pools {
		c.chooseSubset(pool)
	}
}

// newRetryBudget returns a full retry budget, so that a gateway can retry before
// it has handled many requests.
func newRetryBudget(cfg retry.Config) *retry.Budget {
	b := retry.NewBudget(cfg)
	for b.Balance() < cfg.Burst {
		b.Deposit()
	}
	return b
}

// SetGatewayCount sets the number of live gateways, including this one, between
// which the limits of customers are divided.
func (c *Core) SetGatewayCount(n int) {
	if n < 1 || n == c.gatewayCount {
		return
	}
	c.gatewayCount = n
	c.divideLimits()
}

// ConfigurationVersion returns the version of the configuration in force, or 0
// before the first.
func (c *Core) ConfigurationVersion() uint64 {
	if c.catalog == nil {
		return 0
	}
	return c.catalog.version
}

// Drain makes the Core refuse new requests from now on. Open ones continue.
func (c *Core) Drain() {
	c.isDraining = true
}

// IsIdle reports whether no request is open and no record is being written or
// read.
func (c *Core) IsIdle() bool {
	if len(c.lookups) > 0 {
		return false
	}
	for _, e := range c.entries {
		if e.isActive() {
			return false
		}
	}
	return true
}

// Tick acts on all deadlines that have passed and starts queued requests for
// which there is room now.
func (c *Core) Tick(now clock.Instant) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].at) {
		t, ok := heap.Pop(&c.timers).(timer)
		if !ok {
			continue
		}
		if e := c.entries[t.id]; e != nil && e.seq == t.seq {
			c.fireTimer(e, now)
		}
	}
	c.expireQueued(now)
	c.startQueued(now)
}

// NextTick returns the time until Tick is to be called next, at most limit.
func (c *Core) NextTick(now clock.Instant, limit time.Duration) time.Duration {
	wait := limit
	if len(c.timers) > 0 {
		wait = min(wait, c.timers[0].at.Sub(now))
	}
	if at, ok := c.queue.NextDeadline(); ok {
		// An entry expires just after its deadline.
		wait = min(wait, at.Sub(now)+time.Millisecond)
	}
	return max(wait, 0)
}

// fireTimer acts on the deadline of one request that has passed: that of its
// retention, of its answer or of the return of its caller.
func (c *Core) fireTimer(e *entry, now clock.Instant) {
	switch {
	case e.phase == phaseEnded:
		if !e.isStoreCallPending && !now.Before(e.endedAt.Add(c.cfg.Retention)) {
			c.forget(e)
		} else {
			c.setTimer(e, now.Add(c.cfg.Retention))
		}
	case !now.Before(e.deadline):
		c.giveUp(e, request.DeadlineUnmet, "the deadline has passed", now)
	case e.hasNoCaller && e.request.Idempotent && !now.Before(e.callersGoneAt.Add(c.cfg.ResumeGrace)):
		c.giveUp(e, request.Canceled, "the caller is gone", now)
	}
}

// expireQueued ends the requests that the queue has dropped: they can't meet
// their deadline any more, or others took their place.
func (c *Core) expireQueued(now clock.Instant) {
	for _, dropped := range c.queue.DropExpired(now) {
		e := c.bySeq[dropped.Entry.ID]
		if e == nil || e.phase != phaseQueued {
			continue
		}
		if dropped.Reason == request.Overloaded && e.isAccepted {
			// Load is no reason to end an accepted request: it is queued again.
			c.requeue(e, now)
			continue
		}
		c.endRefused(e, dropped.Reason, "waited too long for an upstream", now)
	}
}

func (c *Core) setTimer(e *entry, at clock.Instant) {
	heap.Push(&c.timers, timer{at: at, id: e.request.ID, seq: e.seq})
}

func (c *Core) forget(e *entry) {
	delete(c.entries, e.request.ID)
	delete(c.bySeq, e.seq)
	c.emit(Forget{ID: e.request.ID})
}

func (c *Core) emit(a Action) {
	c.actions = append(c.actions, a)
}

// divideLimits sets the limits of each customer to this gateway's part of them.
// A limit on concurrent requests stays at least 1.
func (c *Core) divideLimits() {
	if c.catalog == nil {
		return
	}
	customers := make([]admit.Customer, 0, len(c.catalog.customers))
	for _, customer := range c.catalog.customers {
		customer.RequestsPerSecond /= float64(c.gatewayCount)
		if customer.MaxConcurrent > 0 {
			customer.MaxConcurrent = max(1, customer.MaxConcurrent/c.gatewayCount)
		}
		customers = append(customers, customer)
	}
	c.queue.SetCustomers(customers)
}
