package admit

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// runnableFlow returns the first of the next few flows whose head can run.
func (q *Queue) runnableFlow(p *poolQueue, now clock.Instant, canRun func(Entry) bool) *flow {
	for range maxProbes {
		f := q.nextFlow(p, now)
		if f == nil {
			return nil
		}
		if canRun(f.head().entry) {
			return f
		}
		f.skippedIn = q.round
	}
	return nil
}

func (q *Queue) nextFlow(p *poolQueue, now clock.Instant) *flow {
	if q.cfg.ArrivalOrder {
		return p.oldestFlow(q.round)
	}
	return p.nextFlow(&q.cfg, q.round, now)
}

// oldestFlow returns the flow whose head arrived first: with Config.ArrivalOrder
// the latest start of an item is its arrival.
func (p *poolQueue) oldestFlow(round uint64) *flow {
	var best *flow
	for _, f := range p.flows {
		if f.len() == 0 || f.skippedIn == round {
			continue
		}
		if best == nil || f.head().startBy < best.head().startBy {
			best = f
		}
	}
	return best
}

// dispatch removes the head of a flow and charges the flow for its predicted
// work.
func (q *Queue) dispatch(f *flow) Entry {
	p := f.pool
	start := f.virtualStart()
	p.advance()
	e := q.take(f.head())
	f.virtualFinish = start
	f.charge(e.PredictedWork)
	f.running++
	p.running++
	return e
}

// advance sets the virtual time to the least virtual start of the flows with
// waiting entries.
func (p *poolQueue) advance() {
	waiting := false
	var least float64
	for _, f := range p.flows {
		if f.len() == 0 {
			continue
		}
		if start := f.virtualStart(); !waiting || start < least {
			least = start
		}
		waiting = true
	}
	if waiting {
		p.virtualTime = least
	}
}

// rotate moves the pool at index i, which was just served, to the end of the
// rotation.
func (q *Queue) rotate(i int) {
	served := q.rotation[i]
	copy(q.rotation[i:], q.rotation[i+1:])
	q.rotation[len(q.rotation)-1] = served
}

func (q *Queue) decrementRunning(f *flow) {
	f.running = max(f.running-1, 0)
	f.pool.running = max(f.pool.running-1, 0)
}
