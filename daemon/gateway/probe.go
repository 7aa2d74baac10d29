package gateway

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// minProbeSpacing is the least time between the probes of two upstreams. It
// limits the cost of probing to five probes a second: with more upstreams each
// is probed less often.
const minProbeSpacing = 200 * time.Millisecond

// probeTimeout limits one probe.
const probeTimeout = 2 * time.Second

// probe is the duty that asks the upstreams for their load, one after another,
// each once in an interval if minProbeSpacing allows it.
type probe struct {
	inbox    *ring.Ring[probeMessage]
	dispatch *ring.Ring[dispatchMessage]
	upstream *httpc.Client
	interval time.Duration
	targets  []fleet.Instance
	next     int // index of the target that was probed last
}

func (p *probe) run() error {
	for {
		m, ok, err := p.inbox.TakeUntil(p.spacing())
		if err != nil {
			return nil
		}
		if ok {
			p.targets = m.targets
			continue
		}
		p.probeNext()
	}
}

// spacing returns the time between the probes of two upstreams.
func (p *probe) spacing() time.Duration {
	return max(p.interval/time.Duration(max(len(p.targets), 1)), minProbeSpacing)
}

func (p *probe) probeNext() {
	if len(p.targets) == 0 {
		return
	}
	p.next = (p.next + 1) % len(p.targets)
	target := p.targets[p.next]
	// If the client is at capacity, the upstream is probed again in its next
	// turn.
	_ = p.upstream.Start(&httpc.Call{
		Address: target.Address,
		Method:  http.MethodGet,
		Path:    engine.LoadPath,
		Timeout: probeTimeout,
		Sink:    &loadSink{instance: target.ID, dispatch: p.dispatch},
	})
}
