package route

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// sampleCount is the number of random upstreams that are compared in a pool
// larger than ScanLimit, in addition to those that hold a prefix of the prompt.
const sampleCount = 8

// Choose returns the replica to run a job on, a *NoReplicaError or a
// *SaturatedError. The latter is also returned for a job that should wait for
// the replica that holds its prefix. Choose reserves nothing: the load of the
// replica changes with Started.
func (r *Router) Choose(job Job, now clock.Instant) (Choice, error) {
	p := r.pools[job.Pool]
	if p == nil {
		return Choice{}, &NoReplicaError{Pool: job.Pool, Model: job.Model}
	}
	r.calls++
	s := selection{policy: r.cfg.Policy, job: &job, rand: r.cfg.Rand, now: now, call: r.calls}
	switch {
	case s.policy == RoundRobin:
		r.considerInTurn(p, &s)
	case len(p.members) <= r.cfg.ScanLimit:
		r.matchPrefix(p, &job, now)
		r.scan(p, &s)
	default:
		r.considerHolders(p, &s, now)
		r.sample(p, &s)
	}
	if s.best.upstream == nil || s.shouldWait() {
		return Choice{}, s.failure()
	}
	return s.choice(), nil
}

// considerInTurn considers the upstreams in round-robin order until one can run
// the job.
func (r *Router) considerInTurn(p *pool, s *selection) {
	n := len(p.members)
	for i := range n {
		s.consider(p.members[(p.nextIndex+i)%n])
		if s.best.upstream != nil {
			p.nextIndex = s.best.upstream.position + 1
			return
		}
	}
}

// scan considers all upstreams. It starts at a random one, so that ties are
// broken at random.
func (r *Router) scan(p *pool, s *selection) {
	n := len(p.members)
	start := r.cfg.Rand.IntN(n)
	for i := range n {
		s.consider(p.members[(start+i)%n])
	}
}

// sample considers sampleCount random upstreams, and all upstreams if no
// candidate has been found by then.
func (r *Router) sample(p *pool, s *selection) {
	for range sampleCount {
		s.consider(p.members[r.cfg.Rand.IntN(len(p.members))])
	}
	if s.best.upstream == nil {
		s.live, s.tried = 0, 0
		r.scan(p, s)
	}
}

// matchPrefix looks the prompt up in the index and marks the upstreams of the
// pool that hold a prefix of it.
func (r *Router) matchPrefix(p *pool, job *Job, now clock.Instant) []prefix.Match {
	if !r.cfg.Policy.usesCaches() {
		return nil
	}
	matches := r.index.Lookup(job.PromptBlocks, now)
	for _, m := range matches {
		if u := r.holders[m.Holder]; u != nil && u.pool == p {
			u.matched = m.Blocks
			u.matchedInCall = r.calls
		}
	}
	return matches
}

// considerHolders considers the upstreams that hold a prefix of the prompt.
func (r *Router) considerHolders(p *pool, s *selection, now clock.Instant) {
	for _, m := range r.matchPrefix(p, s.job, now) {
		if u := r.holders[m.Holder]; u != nil && u.pool == p {
			s.consider(u)
		}
	}
}
