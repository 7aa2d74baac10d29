package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

// Bounds of an ownHistory.
const (
	historySamples = 32
	historyStep    = 200 * time.Millisecond
)

// ownHistory remembers how many requests of this gateway were in progress at
// an upstream, so that an old report can be compared with that time.
type ownHistory struct {
	at    [historySamples]clock.Instant
	count [historySamples]int32
	last  int
	size  int
}

// add notes the count from now on. Within a step the last one counts.
func (h *ownHistory) add(count int, now clock.Instant) {
	if h.size > 0 && now.Sub(h.at[h.last]) < historyStep {
		h.count[h.last] = int32(count)
		return
	}
	if h.size > 0 {
		h.last = (h.last + 1) % historySamples
	}
	h.size = min(h.size+1, historySamples)
	h.at[h.last] = now
	h.count[h.last] = int32(count)
}

// countAt returns the count at an instant, or the oldest one known.
func (h *ownHistory) countAt(at clock.Instant) int {
	count := 0
	for i := range h.size {
		j := (h.last - i + historySamples) % historySamples
		count = int(h.count[j])
		if h.at[j] <= at {
			return count
		}
	}
	if h.size < historySamples {
		return 0
	}
	return count
}
