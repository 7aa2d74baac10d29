package reclaim

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// waveWindow is the time over which notices are counted.
	waveWindow = time.Minute
	// waveDivisor sets the number of notices that make a wave: one for every two
	// reclaimable instances of the failure domain.
	waveDivisor = 2
	// minWave is the least number of notices that make a wave.
	minWave = 2
)

// WaveDetector detects when the cloud reclaims a failure domain as a whole, which
// is called a wave. It is used by one thread.
type WaveDetector struct {
	recent map[string][]clock.Instant
}

// NewWaveDetector makes a detector that has seen no notices.
func NewWaveDetector() *WaveDetector {
	return &WaveDetector{recent: make(map[string][]clock.Instant)}
}

// AddNotice counts a notice, which must not be a duplicate, and reports whether
// the recent notices for the failure domain make a wave. reclaimable is the number
// of reclaimable instances in the domain, leaving ones included.
func (w *WaveDetector) AddNotice(domain string, reclaimable int, now clock.Instant) bool {
	kept := w.recent[domain][:0]
	for _, at := range w.recent[domain] {
		if now.Sub(at) <= waveWindow {
			kept = append(kept, at)
		}
	}
	kept = append(kept, now)
	w.recent[domain] = kept
	return len(kept) >= minWave && len(kept)*waveDivisor >= reclaimable
}
