package engine

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// sampleSpacing is the minimum time between samples; closer changes overwrite
// the last sample.
const sampleSpacing = 2 * time.Millisecond

// loadHistory keeps the load samples that a report with the configured lag can
// still need.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

// add records a change of the load.
func (h *loadHistory) add(now clock.Instant, load Load) {
	if last := len(h.samples) - 1; last >= 0 && now.Sub(h.samples[last].at) < sampleSpacing {
		h.samples[last].load = load
		return
	}
	h.samples = append(h.samples, loadSample{at: now, load: load})
	h.prune(now.Add(-h.lag))
}

// at returns the load at an instant, which is zero before the first sample.
func (h *loadHistory) at(t clock.Instant) Load {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].load
		}
	}
	return Load{}
}

// prune drops the samples that were superseded by the instant.
func (h *loadHistory) prune(t clock.Instant) {
	keep := 0
	for keep+1 < len(h.samples) && !h.samples[keep+1].at.After(t) {
		keep++
	}
	h.samples = append(h.samples[:0], h.samples[keep:]...)
}
