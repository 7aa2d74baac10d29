package admit

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// priorityLevels is the number of priorities with an error estimate of their
// own. Priorities outside the range use the nearest estimate.
const priorityLevels = 8

// Parameters of the average overrun of the predicted work.
const (
	// overrunWeight is the weight of a new sample.
	overrunWeight = 0.05
	// maxOverrun caps a sample: the work took four times the prediction.
	maxOverrun = 3.0
)

// poolQueue holds the flows of one pool and schedules them by weighted fair
// queueing.
type poolQueue struct {
	name  string
	flows []*flow
	// virtualTime is the work dispatched for each unit of share, in seconds.
	virtualTime float64
	// work is the predicted work of the waiting entries.
	work time.Duration
	// waiting and running count the waiting and the dispatched entries.
	waiting, running int
	// firstTokenErrors holds the errors of the predicted time to the first
	// token, by priority.
	firstTokenErrors [priorityLevels]errorEstimate
	// workOverrun is the average part by which the time at upstreams exceeds
	// its prediction: 0.5 is half as long again.
	workOverrun float64
}

func (p *poolQueue) add(f *flow) {
	f.index = len(p.flows)
	f.virtualFinish = p.virtualTime
	p.flows = append(p.flows, f)
}

func (p *poolQueue) remove(f *flow) {
	last := len(p.flows) - 1
	moved := p.flows[last]
	p.flows[f.index] = moved
	moved.index = f.index
	p.flows[last] = nil
	p.flows = p.flows[:last]
}

// observeWork updates workOverrun with the time that an entry took.
func (p *poolQueue) observeWork(observed, predicted time.Duration) {
	if predicted <= 0 {
		return
	}
	overrun := float64(observed)/float64(predicted) - 1
	p.workOverrun += overrunWeight * (min(max(overrun, 0), maxOverrun) - p.workOverrun)
}

// predictWork returns the predicted time of an entry at an upstream, corrected
// by the average overrun.
func (p *poolQueue) predictWork(e *Entry) time.Duration {
	return e.PredictedWork + time.Duration(float64(e.PredictedWork)*p.workOverrun)
}

// firstTokenError returns the error estimate for entries of a priority.
func (p *poolQueue) firstTokenError(priority int) *errorEstimate {
	return &p.firstTokenErrors[min(max(priority, 0), priorityLevels-1)]
}

func (p *poolQueue) isIdle() bool {
	return p.waiting == 0 && p.running == 0
}

// throughput returns the work done in a second, in seconds: one for each
// dispatched entry, as they run at the same time.
func (p *poolQueue) throughput() float64 {
	return float64(max(p.running, 1))
}

// nextFlow returns the flow whose head is to be dispatched, except those that
// were skipped in this round. Among the flows that are at most the fairness lag
// ahead of their share, the one with the most urgent head is chosen; if there
// are none, the one that is the least ahead.
func (p *poolQueue) nextFlow(cfg *Config, round uint64, now clock.Instant) *flow {
	least, shares := p.minVirtualStart(now)
	if shares == 0 {
		return nil
	}
	lead := cfg.FairnessLag.Seconds() * p.throughput() / shares
	var best, leastAhead *flow
	for _, f := range p.flows {
		if f.len() == 0 || f.skippedIn == round {
			continue
		}
		if f.virtualStart() > least+lead {
			if leastAhead == nil || f.virtualStart() < leastAhead.virtualStart() {
				leastAhead = f
			}
			continue
		}
		if best == nil || f.isMoreUrgent(best) {
			best = f
		}
	}
	if best == nil {
		return leastAhead
	}
	return best
}

// minVirtualStart returns the least virtual start of the flows with waiting
// entries, and the sum of their shares. It also demotes their late items.
func (p *poolQueue) minVirtualStart(now clock.Instant) (least, shares float64) {
	for _, f := range p.flows {
		if f.len() == 0 {
			continue
		}
		f.demoteLate(now)
		if start := f.virtualStart(); shares == 0 || start < least {
			least = start
		}
		shares += f.account.share()
	}
	return least, shares
}

// mostBacklogged returns the flow with the most waiting entries for its share.
func (p *poolQueue) mostBacklogged() *flow {
	var most *flow
	for _, f := range p.flows {
		if f.len() > 0 && (most == nil || f.backlogPerShare() > most.backlogPerShare()) {
			most = f
		}
	}
	return most
}

// predictWait predicts how long a new entry of a flow waits: until its flow,
// which gets at least its share of the throughput, has done the more urgent
// work, and at most until the pool has done all waiting work.
func (p *poolQueue) predictWait(f *flow, startBy clock.Instant) time.Duration {
	if p.waiting == 0 {
		return 0
	}
	shares := f.account.share()
	for _, g := range p.flows {
		if g != f && g.len() > 0 {
			shares += g.account.share()
		}
	}
	own := f.workBefore(startBy).Seconds() * shares / f.account.share()
	seconds := min(own, p.work.Seconds()) / p.throughput()
	return time.Duration(seconds * float64(time.Second))
}
