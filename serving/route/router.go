package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// saturatedHint is the least RetryAfter of a SaturatedError.
const saturatedHint = 100 * time.Millisecond

// Router chooses a replica for each request. One thread owns it.
type Router struct {
	cfg       Config
	upstreams map[string]*upstream
	pools     map[string]*pool
}

// New returns a Router without replicas.
func New(cfg Config) *Router {
	return &Router{
		cfg:       cfg.withDefaults(),
		upstreams: make(map[string]*upstream),
		pools:     make(map[string]*pool),
	}
}

// Upsert adds a replica or replaces what is known of it. A replica that is
// leaving stays so.
func (r *Router) Upsert(rep Replica) {
	u, known := r.upstreams[rep.ID]
	if known && u.replica.Pool == rep.Pool {
		u.replica = rep
		return
	}
	if known {
		r.Remove(rep.ID)
	}
	u = &upstream{replica: rep}
	r.upstreams[rep.ID] = u
	p := r.pools[rep.Pool]
	if p == nil {
		p = &pool{}
		r.pools[rep.Pool] = p
	}
	p.add(u)
}

// Remove forgets a replica.
func (r *Router) Remove(id string) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	delete(r.upstreams, id)
	p := r.pools[u.replica.Pool]
	p.remove(u)
	if len(p.members) == 0 {
		delete(r.pools, u.replica.Pool)
	}
}

// SetLeaving keeps new work from a replica from now on.
func (r *Router) SetLeaving(id string) {
	if u := r.upstreams[id]; u != nil {
		u.leaving = true
	}
}

// ReportLoad takes a report of a replica about itself.
func (r *Router) ReportLoad(id string, l Load, now clock.Instant) {
	if u := r.upstreams[id]; u != nil {
		u.report(l, now)
	}
}

// ReportCache takes events of the prefix cache of a replica.
func (r *Router) ReportCache(id string, now clock.Instant, events ...CacheEvent) {
}

// Choose returns the replica that is to run a job, or a *NoReplicaError, or a
// *SaturatedError. It changes nothing until Started.
func (r *Router) Choose(job Job, now clock.Instant) (Choice, error) {
	p := r.pools[job.Pool]
	if p == nil {
		return Choice{}, &NoReplicaError{Pool: job.Pool, Model: job.Model}
	}
	var best *upstream
	live, tried := 0, 0
	n := len(p.members)
	start := r.cfg.Rand.IntN(n)
	if r.cfg.Policy == RoundRobin {
		start = p.turn % n
	}
	for i := range n {
		u := p.members[(start+i)%n]
		if !u.takesWork() || u.replica.Model != job.Model {
			continue
		}
		live++
		if job.avoids(u.replica.ID) {
			tried++
			continue
		}
		if u.isSaturated() {
			continue
		}
		if best == nil || u.inProgress() < best.inProgress() {
			best = u
		}
		if r.cfg.Policy == RoundRobin {
			break
		}
	}
	if best != nil {
		p.turn = best.position + 1
		return Choice{ID: best.replica.ID, Address: best.replica.Address, PromptTokens: job.PromptTokens}, nil
	}
	if live == tried {
		return Choice{}, &NoReplicaError{Pool: job.Pool, Model: job.Model, Tried: tried}
	}
	return Choice{}, &SaturatedError{Pool: job.Pool, RetryAfter: saturatedHint}
}

// Started notes that an attempt was sent to the chosen replica. Exactly one
// Finished or Failed follows.
func (r *Router) Started(c Choice, job Job, now clock.Instant) {
	if u := r.upstreams[c.ID]; u != nil {
		u.start(now)
	}
}

// FirstToken notes that the first token of an attempt, or the status of a plain
// call, came after a time.
func (r *Router) FirstToken(c Choice, after time.Duration, now clock.Instant) {
}

// NextTokens notes that n further tokens of an attempt came over a time.
func (r *Router) NextTokens(c Choice, n int, over time.Duration, now clock.Instant) {
}

// Finished notes that an attempt ended with a whole answer.
func (r *Router) Finished(c Choice, now clock.Instant) {
	r.end(c, now)
}

// Failed notes that an attempt ended without a whole answer.
func (r *Router) Failed(c Choice, kind FailureKind, now clock.Instant) {
	r.end(c, now)
}

func (r *Router) end(c Choice, now clock.Instant) {
	if u := r.upstreams[c.ID]; u != nil {
		u.end(now)
	}
}
