package reclaim

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// waveWindow is the time within which notices make a wave.
	waveWindow = time.Minute
	// waveShare is the part of a failure domain's reclaimable instances that
	// makes a wave: one in so many.
	waveShare = 2
	// minWave is the least number of notices that makes a wave.
	minWave = 2
)

// Waves recognises that a failure domain is being reclaimed as a whole. It is
// owned by one thread.
type Waves struct {
	recent map[string][]clock.Instant
}

// NewWaves makes a Waves that has seen nothing.
func NewWaves() *Waves {
	return &Waves{recent: make(map[string][]clock.Instant)}
}

// Notify counts a notice that is no duplicate. Reclaimable is the number of
// reclaimable instances in the failure domain, those leaving included. It
// returns whether the notices of the last minute make a wave.
func (w *Waves) Notify(domain string, reclaimable int, now clock.Instant) bool {
	kept := w.recent[domain][:0]
	for _, at := range w.recent[domain] {
		if now.Sub(at) <= waveWindow {
			kept = append(kept, at)
		}
	}
	kept = append(kept, now)
	w.recent[domain] = kept
	return len(kept) >= minWave && len(kept)*waveShare >= reclaimable
}
