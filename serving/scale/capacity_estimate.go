package scale

import (
	"math"
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// reclaimableShortage is the fraction of the wanted reclaimable upstreams below
	// which the estimate does not fall.
	reclaimableShortage = 0.75
	// minGrowth and growthFraction bound the estimate to this many more upstreams
	// than exist, or this fraction more where that is larger.
	minGrowth      = 3
	growthFraction = 0.5
	// settleTime is how long the number of upstreams must stay the same after a start
	// until all of them are taken to have registered.
	settleTime = 3 * time.Second
	// warmupTime is how long the estimate does not fall after the first load: the
	// average has only begun, or the gateways that report it have just started.
	warmupTime = 8 * time.Second
	// initialFraction is the fraction of the initial on-demand upstreams that is taken
	// to be required until the load is known.
	initialFraction = 0.55
	// scaleDownDelay is how long the required number must stay below the estimate
	// before the estimate falls.
	scaleDownDelay = 3 * time.Second
	// scaleDownInterval is the time between two steps down.
	scaleDownInterval = 500 * time.Millisecond
	// minScaleDownStep is the least size of a step down.
	minScaleDownStep = 1
	// scaleDownFraction is the size of a step down as a fraction of the estimate,
	// where that is larger.
	scaleDownFraction = 0.06
)

// capacityEstimate estimates how many upstreams a service requires. It rises at
// once and falls in steps.
type capacityEstimate struct {
	// onDemandRatio is the number of on-demand upstreams per required upstream.
	onDemandRatio float64
	// readRate is the rate, in tokens per second, at which one upstream reads
	// prompts.
	readRate float64
	required int
	// lastHigh is when the load last required that many. scaleDownDelay counts from
	// it, so it is also shifted to hold the estimate after the first load and to
	// space the steps down.
	lastHigh clock.Instant
	// initial is the largest number of on-demand upstreams seen before any load.
	initial int
	// initialChangedAt is when initial last changed.
	initialChangedAt clock.Instant
	// reclaimableTarget is the number of reclaimable upstreams wanted in all failure
	// domains.
	reclaimableTarget int
	// hasLoad is set by the first load.
	hasLoad bool
}

// update adjusts the estimate to the load and the existing upstreams of each kind.
func (e *capacityEstimate) update(load Load, slots, onDemand, reclaimable int, now clock.Instant) {
	if load == (Load{}) && !e.hasLoad {
		e.updateWithoutLoad(onDemand, now)
		return
	}
	if !e.hasLoad {
		e.startLoad(onDemand, reclaimable, now)
	}
	// The growth is bounded because an overload inflates the load: requests are read
	// again.
	existing := onDemand + reclaimable
	growth := max(minGrowth, int(growthFraction*float64(existing)))
	required := min(load.requiredUpstreams(slots, e.readRate), max(e.required, existing+growth))
	switch {
	case required >= e.required:
		e.required, e.lastHigh = required, now
	case float64(reclaimable) < reclaimableShortage*float64(e.reclaimableTarget):
		// The on-demand upstreams may have to carry the whole load.
		e.lastHigh = now
	case now.Sub(e.lastHigh) >= scaleDownDelay:
		e.required, e.lastHigh = max(required, e.required-max(minScaleDownStep, int(scaleDownFraction*float64(e.required)))), now.Add(scaleDownInterval-scaleDownDelay)
	}
}

// startLoad notes the first load. A planner that saw no upstreams before any load
// has taken over from another lease holder, so the estimate starts from what the
// former holder ordered: on-demand upstreams in their usual ratio or, while
// reclaimable ones are short, as many of both as are required.
func (e *capacityEstimate) startLoad(onDemand, reclaimable int, now clock.Instant) {
	if e.initial == 0 {
		e.required = min(int(float64(onDemand)/e.onDemandRatio), onDemand+reclaimable)
	}
	e.hasLoad, e.lastHigh = true, now.Add(warmupTime-scaleDownDelay)
}

// updateWithoutLoad sets the estimate from the number of on-demand upstreams, until
// the first load.
func (e *capacityEstimate) updateWithoutLoad(onDemand int, now clock.Instant) {
	if onDemand > e.initial {
		e.initial, e.initialChangedAt = onDemand, now
	}
	e.required, e.lastHigh = int(math.Ceil(initialFraction*float64(e.initial))), now
}

// isSettled reports whether on-demand upstreams may be ordered: the load is known,
// or the initial upstreams have all registered.
func (e *capacityEstimate) isSettled(now clock.Instant) bool {
	return e.hasLoad || (e.initial > 0 && now.Sub(e.initialChangedAt) >= settleTime)
}
