package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
	"github.com/sycamorecourse/sycamorecourse/serving/health"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// saturatedRetryAfter is the RetryAfter of a SaturatedError.
const saturatedRetryAfter = 100 * time.Millisecond

// Router chooses a replica for each request. One thread owns it.
type Router struct {
	cfg       Config
	upstreams map[string]*upstream
	pools     map[string]*pool
	index     *prefix.Index
	// holders maps the holder numbers of the index to upstreams.
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

// Upsert adds a replica or updates it. A replica that was leaving stays so. A
// replica that has changed its pool is removed and added again.
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
	r.assignHolder(u)
	u.incarnation = u.holder
	p := r.pools[rep.Pool]
	if p == nil {
		p = &pool{health: health.NewGroup(r.cfg.Health)}
		r.pools[rep.Pool] = p
	}
	p.add(u)
	return u
}

// assignHolder gives an upstream a new holder number, for which the index has no
// blocks.
func (r *Router) assignHolder(u *upstream) {
	delete(r.holders, u.holder)
	r.lastHolder++
	u.holder = r.lastHolder
	r.holders[u.holder] = u
}

// Remove deletes a replica. Later events of its attempts are ignored.
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

// SetLeaving excludes a replica from further choices.
func (r *Router) SetLeaving(id string) {
	if u := r.upstreams[id]; u != nil {
		u.leaving = true
	}
}

// ReportLoad handles a load report of a replica. Reports that were measured
// before the last one are ignored.
func (r *Router) ReportLoad(id string, l Load, now clock.Instant) {
	if u := r.upstreams[id]; u != nil {
		u.updateLoad(l, now)
	}
}

// ReportCache handles events of the prefix cache of a replica.
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
		r.assignHolder(u)
	}
}

// Started records that an attempt was sent to the chosen replica. It must be
// followed by exactly one call of Finished or Failed.
func (r *Router) Started(c *Choice, job Job, now clock.Instant) {
	u := r.upstreamOf(c)
	if u == nil {
		return
	}
	u.start(now)
	u.pool.health.Started(&u.health)
	u.prefillTokens += c.uncached
	c.isPrefilling = true
	if r.cfg.Policy.usesCaches() {
		r.index.Add(u.holder, job.PromptBlocks, now)
	}
}

// FirstToken records the time after which the first token of an attempt arrived,
// or the status of a plain service's response.
func (r *Router) FirstToken(c *Choice, after time.Duration, now clock.Instant) {
	u := r.upstreamOf(c)
	if u == nil {
		return
	}
	r.endPrefill(u, c)
	u.pool.health.Succeeded(&u.health)
	u.speed.observeFirstToken(after, c.baseline, now)
	u.pool.slowdown.add(u.speed.slowdown.value, observationWeight)
}

// NextTokens records that n further tokens of an attempt arrived over a time.
func (r *Router) NextTokens(c *Choice, n int, over time.Duration, now clock.Instant) {
	if u := r.upstreamOf(c); u != nil {
		u.speed.observeNextTokens(n, over)
	}
}

// Finished records that an attempt ended with a complete response.
func (r *Router) Finished(c *Choice, now clock.Instant) {
	if u := r.upstreamOf(c); u != nil {
		r.endPrefill(u, c)
		u.end(now)
	}
}

// Failed records that an attempt ended without a complete response.
func (r *Router) Failed(c *Choice, kind FailureKind, now clock.Instant) {
	if u := r.upstreamOf(c); u != nil {
		r.endPrefill(u, c)
		u.end(now)
		u.recordFailure(kind, now)
	}
}

// upstreamOf returns the upstream of a choice, or nil if it has been removed
// since.
func (r *Router) upstreamOf(c *Choice) *upstream {
	u := r.upstreams[c.ID]
	if u == nil || u.incarnation != c.incarnation {
		return nil
	}
	return u
}

func (r *Router) endPrefill(u *upstream, c *Choice) {
	if c.isPrefilling {
		u.prefillTokens -= c.uncached
		c.isPrefilling = false
	}
}
