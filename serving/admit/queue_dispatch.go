package admit

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// runnable returns the first flow in order whose head can run.
func (q *Queue) runnable(l *line, now clock.Instant, canRun func(Entry) bool) *flow {
	for range maxProbes {
		f := q.nextFlow(l, now)
		if f == nil {
			return nil
		}
		if canRun(f.head().entry) {
			return f
		}
		f.probed = q.calls
	}
	return nil
}

func (q *Queue) nextFlow(l *line, now clock.Instant) *flow {
	if q.cfg.ArrivalOrder {
		return l.oldest(q.calls)
	}
	return l.next(&q.cfg, q.calls, now)
}

// oldest returns the flow with the entry that came first.
func (l *line) oldest(call uint64) *flow {
	var best *flow
	for _, f := range l.flows {
		if f.len() == 0 || f.probed == call {
			continue
		}
		if best == nil || f.head().startBy < best.head().startBy {
			best = f
		}
	}
	return best
}

func (q *Queue) dispatch(f *flow) Entry {
	l := f.line
	start := f.start()
	l.advance()
	e := q.take(f.head())
	f.finish = start
	f.charge(e.PredictedWork)
	f.running++
	l.running++
	return e
}

// advance moves the virtual time on to the least start of those waiting.
func (l *line) advance() {
	waiting := false
	var least float64
	for _, f := range l.flows {
		if f.len() == 0 {
			continue
		}
		if start := f.start(); !waiting || start < least {
			least = start
		}
		waiting = true
	}
	if waiting {
		l.virtual = least
	}
}

// rotate puts the line that was served last at the end of the rotation.
func (q *Queue) rotate(i int) {
	served := q.rotation[i]
	copy(q.rotation[i:], q.rotation[i+1:])
	q.rotation[len(q.rotation)-1] = served
}

func (q *Queue) stopRunning(f *flow) {
	f.running = max(f.running-1, 0)
	f.line.running = max(f.line.running-1, 0)
}
