package route

import (
	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/prefix"
)

// sampleCount is the number of upstreams drawn at random from a pool above the
// scan limit, beside those that hold a prefix of the prompt.
const sampleCount = 8

// Choose returns the replica that is to run a job, or a *NoReplicaError, or a
// *SaturatedError. The latter is also returned for a job that had better wait
// for the replica that holds its prefix. Choose changes nothing until Started.
func (r *Router) Choose(job Job, now clock.Instant) (Choice, error) {
	p := r.pools[job.Pool]
	if p == nil {
		return Choice{}, &NoReplicaError{Pool: job.Pool, Model: job.Model}
	}
	r.calls++
	s := selection{policy: r.cfg.Policy, job: &job, rand: r.cfg.Rand, now: now, call: r.calls}
	switch {
	case s.policy == RoundRobin:
		r.takeTurn(p, &s)
	case len(p.members) <= r.cfg.ScanLimit:
		r.matchPrefix(p, &job, now)
		r.scan(p, &s)
	default:
		r.considerHolders(p, &s, now)
		r.sample(p, &s)
	}
	if s.best.upstream == nil || s.waits() {
		return Choice{}, s.failure()
	}
	return s.choice(), nil
}

// takeTurn considers the upstreams in turn until one can run the job.
func (r *Router) takeTurn(p *pool, s *selection) {
	n := len(p.members)
	for i := range n {
		s.consider(p.members[(p.turn+i)%n])
		if s.best.upstream != nil {
			p.turn = s.best.upstream.position + 1
			return
		}
	}
}

// scan considers all upstreams, from a random one on so that ties are broken
// at random.
func (r *Router) scan(p *pool, s *selection) {
	n := len(p.members)
	start := r.cfg.Rand.IntN(n)
	for i := range n {
		s.consider(p.members[(start+i)%n])
	}
}

// sample considers some upstreams drawn at random, or all if none can run the
// job.
func (r *Router) sample(p *pool, s *selection) {
	for range sampleCount {
		s.consider(p.members[r.cfg.Rand.IntN(len(p.members))])
	}
	if s.best.upstream == nil {
		s.live, s.tried = 0, 0
		r.scan(p, s)
	}
}

// matchPrefix marks the upstreams that hold a prefix of the prompt.
func (r *Router) matchPrefix(p *pool, job *Job, now clock.Instant) []prefix.Match {
	if !r.cfg.Policy.usesCaches() {
		return nil
	}
	matches := r.index.Lookup(job.PromptBlocks, now)
	for _, m := range matches {
		if u := r.holders[m.Holder]; u != nil && u.pool == p {
			u.matched = m.Blocks
			u.matchedIn = r.calls
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
