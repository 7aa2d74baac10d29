package exchange

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
)

const (
	// minPollInterval and maxPollInterval bound the time between two polls of a
	// gateway, and pollIntervalPerGateway is that time for each gateway: the size of
	// the news grows with their number.
	minPollInterval        = 500 * time.Millisecond
	maxPollInterval        = 900 * time.Millisecond
	pollIntervalPerGateway = 8 * time.Millisecond
	// minHubPollInterval is the least time between two polls of a hub, which polls all
	// other hubs in turn within the interval of the others.
	minHubPollInterval = 100 * time.Millisecond
	// failureBackoff is how long a hub that did not answer is not polled.
	failureBackoff = 3 * time.Second
)

// Plan decides which hub a gateway polls next. One thread owns it.
type Plan struct {
	instance      string
	failureDomain string
	isHub         bool
	gateways      int
	// targets are the hubs to poll, the preferred one first.
	targets []cluster.Record
	next    int // of targets, if this gateway is a hub
	// failedUntil is, by hub, when a hub that did not answer is polled again.
	failedUntil map[string]clock.Instant
	// maxInterval bounds the time between two polls.
	maxInterval time.Duration
}

// NewPlan makes the plan of a gateway, without hubs.
func NewPlan(instance, failureDomain string) *Plan {
	return &Plan{instance: instance, failureDomain: failureDomain, failedUntil: make(map[string]clock.Instant), maxInterval: maxPollInterval}
}

// SetMaxInterval lowers the longest time between two polls.
func (p *Plan) SetMaxInterval(d time.Duration) {
	p.maxInterval = min(p.maxInterval, d)
}

// SetHubs sets the hubs and the number of gateways. A gateway prefers the hubs of its failure domain, and
// among these one by a hash, so that each hub has about as many gateways.
func (p *Plan) SetHubs(hubs []cluster.Record, gateways int) {
	p.isHub = false
	p.gateways = gateways
	p.targets = p.targets[:0]
	for _, hub := range hubs {
		if hub.Instance == p.instance {
			p.isHub = true
			continue
		}
		p.targets = append(p.targets, hub)
	}
	sort.Slice(p.targets, func(i, j int) bool { return p.prefers(p.targets[i], p.targets[j]) })
}

func (p *Plan) prefers(a, b cluster.Record) bool {
	if isNear := a.FailureDomain == p.failureDomain; isNear != (b.FailureDomain == p.failureDomain) {
		return isNear
	}
	return xxhash.Sum64String(p.instance+a.Instance) < xxhash.Sum64String(p.instance+b.Instance)
}

// IsHub reports whether this gateway is a hub.
func (p *Plan) IsHub() bool {
	return p.isHub
}

// Interval returns the time between two polls.
func (p *Plan) Interval() time.Duration {
	interval := min(max(time.Duration(p.gateways)*pollIntervalPerGateway, minPollInterval), p.maxInterval)
	if p.isHub {
		return max(interval/time.Duration(max(len(p.targets), 1)), minHubPollInterval)
	}
	return interval
}

// Next returns the hub to poll. It reports false if there is none.
func (p *Plan) Next(now clock.Instant) (cluster.Record, bool) {
	for i := range p.targets {
		at := i
		if p.isHub {
			at = (p.next + i) % len(p.targets)
		}
		hub := p.targets[at]
		if now.Before(p.failedUntil[hub.Instance]) {
			continue
		}
		p.next = at + 1
		return hub, true
	}
	return cluster.Record{}, false
}

// Failed records that a hub did not answer.
func (p *Plan) Failed(hub string, now clock.Instant) {
	p.failedUntil[hub] = now.Add(failureBackoff)
}

// Succeeded records that a hub has answered.
func (p *Plan) Succeeded(hub string) {
	delete(p.failedUntil, hub)
}
