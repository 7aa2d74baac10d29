package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// priorityClasses is the number of priorities that are told apart in the
// correction of predictions.
const priorityClasses = 8

// Parameters of the correction of the predicted work.
const (
	excessWeight   = 0.05
	greatestExcess = 3.0
)

// line holds the flows of one pool, with weighted fair queueing between them.
type line struct {
	pool  string
	flows []*flow
	// virtual is the virtual time: the work dispatched for each unit of share.
	virtual float64
	// work is the predicted work waiting.
	work time.Duration
	// waiting and running count the entries.
	waiting, running int
	// firstToken corrects the predictions of the first token, by priority.
	firstToken [priorityClasses]errorEstimate
	// excess is how far the time at upstreams exceeds its predictions, as a
	// part of them.
	workExcess float64
}

func (l *line) add(f *flow) {
	f.position = len(l.flows)
	f.finish = l.virtual
	l.flows = append(l.flows, f)
}

func (l *line) remove(f *flow) {
	last := len(l.flows) - 1
	moved := l.flows[last]
	l.flows[f.position] = moved
	moved.position = f.position
	l.flows[last] = nil
	l.flows = l.flows[:last]
}

// observeWork learns from the time that an entry took.
func (l *line) observeWork(observed, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	excess := float64(observed)/float64(predicted) - 1
	l.workExcess += excessWeight * (min(max(excess, 0), greatestExcess) - l.workExcess)
}

// predict returns the expected time of an entry at an upstream.
func (l *line) predict(e *Entry) time.Duration {
	return e.PredictedWork + time.Duration(float64(e.PredictedWork)*l.workExcess)
}

// correction returns the estimate for entries of a priority.
func (l *line) correction(priority int) *errorEstimate {
	return &l.firstToken[min(max(priority, 0), priorityClasses-1)]
}

func (l *line) isIdle() bool {
	return l.waiting == 0 && l.running == 0
}

// throughput is the work done in a unit of time: each dispatched entry does
// one second of work a second.
func (l *line) throughput() float64 {
	return float64(max(l.running, 1))
}

// next returns the flow whose head is to be dispatched, passing over flows
// that were probed in this call. Flows that are ahead of their share wait;
// among the others the most urgent head decides.
func (l *line) next(cfg *Config, call uint64, now clock.Instant) *flow {
	least, shares := l.leastStart(now)
	if shares == 0 {
		return nil
	}
	ahead := cfg.FairnessLag.Seconds() * l.throughput() / shares
	var best, behind *flow
	for _, f := range l.flows {
		if f.len() == 0 || f.probed == call {
			continue
		}
		if f.start() > least+ahead {
			if behind == nil || f.start() < behind.start() {
				behind = f
			}
			continue
		}
		if best == nil || f.isMoreUrgent(best) {
			best = f
		}
	}
	if best == nil {
		return behind
	}
	return best
}

// leastStart returns the least virtual start of the flows with entries, and
// the sum of their shares.
func (l *line) leastStart(now clock.Instant) (least, shares float64) {
	for _, f := range l.flows {
		if f.len() == 0 {
			continue
		}
		f.demote(now)
		if start := f.start(); shares == 0 || start < least {
			least = start
		}
		shares += f.account.share()
	}
	return least, shares
}

// mostExcess returns the flow that holds the most entries for its share.
func (l *line) mostExcess() *flow {
	var most *flow
	for _, f := range l.flows {
		if f.len() > 0 && (most == nil || f.excess() > most.excess()) {
			most = f
		}
	}
	return most
}

// wait predicts how long a new entry of a flow waits. The flow gets at least
// its share, and no entry waits longer than all the work takes.
func (l *line) wait(f *flow, startBy clock.Instant) time.Duration {
	if l.waiting == 0 {
		return 0
	}
	shares := f.account.share()
	for _, g := range l.flows {
		if g != f && g.len() > 0 {
			shares += g.account.share()
		}
	}
	own := f.workBefore(startBy).Seconds() * shares / f.account.share()
	seconds := min(own, l.work.Seconds()) / l.throughput()
	return time.Duration(seconds * float64(time.Second))
}
