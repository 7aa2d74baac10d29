package engine

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// sampleSpacing is the least time between two samples.
const sampleSpacing = 2 * time.Millisecond

// loadHistory keeps the load of the time that a lagging report needs.
type loadHistory struct {
	lag     time.Duration
	samples []sample
}

// add notes the load from now on.
func (h *loadHistory) add(now clock.Instant, load Load) {
	if last := len(h.samples) - 1; last >= 0 && now.Sub(h.samples[last].at) < sampleSpacing {
		h.samples[last].load = load
		return
	}
	h.samples = append(h.samples, sample{at: now, load: load})
	h.prune(now.Add(-h.lag))
}

// at returns the load at an instant; before the first sample there was none.
func (h *loadHistory) at(t clock.Instant) Load {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].load
		}
	}
	return Load{}
}

// prune drops the samples that end before the instant.
func (h *loadHistory) prune(t clock.Instant) {
	keep := 0
	for keep+1 < len(h.samples) && !h.samples[keep+1].at.After(t) {
		keep++
	}
	h.samples = append(h.samples[:0], h.samples[keep:]...)
}
