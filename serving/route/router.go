package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// saturatedHint is the RetryAfter of a SaturatedError.
const saturatedHint = 100 * time.Millisecond

// Router chooses a replica for each request. One thread owns it.
type Router struct {
	cfg       Config
	upstreams map[string]*upstream
	pools     map[string]*pool
	index     *prefix.Index
	// holders finds upstreams by their number in the index.
	holders    map[prefix.Holder]*upstream
	lastHolder prefix.Holder
	// calls counts the calls of Choose.
	calls uint64
}

// New returns a Router without replicas.
func New(cfg Config) *Router {
	return &Router{
		cfg:       cfg.withDefaults(),
		upstreams: make(map[string]*upstream),
		pools:     make(map[string]*pool),
		index:     prefix.NewIndex(cfg.Index),
		holders:   make(map[prefix.Holder]*upstream),
	}
}

// Upsert adds a replica or replaces what is known of it. A replica that was
// leaving stays so.
func (r *Router) Upsert(rep Replica) {
	u := r.upstreams[rep.ID]
	if u != nil && u.replica.Pool != rep.Pool {
		r.Remove(rep.ID)
		u = nil
	}
	if u == nil {
		u = r.add(rep)
	}
	u.replica = rep
	if rep.State == fleet.Leaving || rep.State == fleet.Gone {
		u.leaving = true
	}
}

func (r *Router) add(rep Replica) *upstream {
	u := &upstream{}
	r.upstreams[rep.ID] = u
	r.renumber(u)
	u.incarnation = u.holder
	p := r.pools[rep.Pool]
	if p == nil {
		p = &pool{health: health.NewGroup(r.cfg.Health)}
		r.pools[rep.Pool] = p
	}
	p.add(u)
	return u
}

// renumber gives an upstream a new number, which no block is held under.
func (r *Router) renumber(u *upstream) {
	delete(r.holders, u.holder)
	r.lastHolder++
	u.holder = r.lastHolder
	r.holders[u.holder] = u
}

// Remove forgets a replica.
func (r *Router) Remove(id string) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	delete(r.upstreams, id)
	delete(r.holders, u.holder)
	u.pool.remove(u)
	if len(u.pool.members) == 0 {
		delete(r.pools, u.replica.Pool)
	}
}

// SetLeaving keeps new work from a replica from now on.
func (r *Router) SetLeaving(id string) {
	if u := r.upstreams[id]; u != nil {
		u.leaving = true
	}
}

// ReportLoad takes a report of a replica about itself. Reports older than the
// last one are ignored.
func (r *Router) ReportLoad(id string, l Load, now clock.Instant) {
	if u := r.upstreams[id]; u != nil {
		u.report(l, now)
	}
}

// ReportCache takes events of the prefix cache of a replica.
func (r *Router) ReportCache(id string, now clock.Instant, events ...CacheEvent) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	for _, e := range events {
		r.applyCacheEvent(u, e, now)
	}
}

func (r *Router) applyCacheEvent(u *upstream, e CacheEvent, now clock.Instant) {
	restarted := e.Kind == CacheCleared
	if e.Sequence <= u.cacheSequence && !restarted {
		return
	}
	u.cacheSequence = e.Sequence
	switch e.Kind {
	case CacheStored:
		r.index.Add(u.holder, e.Blocks, now)
	case CacheRemoved:
		r.index.Remove(u.holder, e.Blocks)
	case CacheCleared:
		r.renumber(u)
	}
}

// Started notes that an attempt was sent to the chosen replica. Exactly one
// Finished or Failed follows.
func (r *Router) Started(c *Choice, job Job, now clock.Instant) {
	u := r.chosen(c)
	if u == nil {
		return
	}
	u.start(now)
	u.pool.health.Started(&u.health)
	u.computing += c.uncached
	c.computing = true
	if r.cfg.Policy.usesCaches() {
		r.index.Add(u.holder, job.PromptBlocks, now)
	}
}

// FirstToken notes that the first token of an attempt, or the status of a plain
// call, came after a time.
func (r *Router) FirstToken(c *Choice, after time.Duration, now clock.Instant) {
	u := r.chosen(c)
	if u == nil {
		return
	}
	r.endComputing(u, c)
	u.pool.health.Succeeded(&u.health)
	u.speed.observeFirstToken(after, c.ordinary, now)
	u.pool.slowness.add(u.speed.slowness.value, speedWeight)
}

// NextTokens notes that n further tokens of an attempt came over a time.
func (r *Router) NextTokens(c *Choice, n int, over time.Duration, now clock.Instant) {
	if u := r.chosen(c); u != nil {
		u.speed.observeNextTokens(n, over)
	}
}

// Finished notes that an attempt ended with a whole answer.
func (r *Router) Finished(c *Choice, now clock.Instant) {
	if u := r.chosen(c); u != nil {
		r.endComputing(u, c)
		u.end(now)
	}
}

// Failed notes that an attempt ended without a whole answer.
func (r *Router) Failed(c *Choice, kind FailureKind, now clock.Instant) {
	if u := r.chosen(c); u != nil {
		r.endComputing(u, c)
		u.end(now)
		u.judge(kind, now)
	}
}

// chosen returns the upstream of a choice, or nil if it was removed since.
func (r *Router) chosen(c *Choice) *upstream {
	u := r.upstreams[c.ID]
	if u == nil || u.incarnation != c.incarnation {
		return nil
	}
	return u
}

func (r *Router) endComputing(u *upstream, c *Choice) {
	if c.computing {
		u.computing -= c.uncached
		c.computing = false
	}
}
