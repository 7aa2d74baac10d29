package gateway

import (
	"net/http"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/edge/engine"
	"github.com/sycamorecourse/sycamorecourse/edge/httpc"
	"github.com/sycamorecourse/sycamorecourse/serving/fleet"
)

// probe is the duty that asks upstreams for their load, one after another, so
// that each is asked once in an interval.
type probe struct {
	inbox    *ring.Ring[probeMessage]
	dispatch *ring.Ring[dispatchMessage]
	upstream *httpc.Client
	interval time.Duration
	targets  []fleet.Instance
	next     int
}

func (p *probe) run() error {
	for {
		m, ok, err := p.inbox.TakeUntil(p.pause())
		if err != nil {
			return nil
		}
		if ok {
			p.targets = m.targets
			continue
		}
		p.ask()
	}
}

// pause is the time between the questions to two upstreams.
func (p *probe) pause() time.Duration {
	return p.interval / time.Duration(max(len(p.targets), 1))
}

func (p *probe) ask() {
	if len(p.targets) == 0 {
		return
	}
	p.next = (p.next + 1) % len(p.targets)
	target := p.targets[p.next]
	// When the client has no room, the upstream is asked the next time.
	_ = p.upstream.Start(&httpc.Call{
		Address: target.Address,
		Method:  http.MethodGet,
		Path:    engine.LoadPath,
		Timeout: p.interval,
		Sink:    &loadSink{instance: target.ID, dispatch: p.dispatch},
	})
}
