package route

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
)

const (
	// historySamples is the number of samples that are kept.
	historySamples = 32
	// historyInterval is the least time between two samples.
	historyInterval = 200 * time.Millisecond
)

// ownRequestHistory records how many requests of this gateway were in progress
// at an upstream over time. A load report is compared with the count at the time
// when it was measured.
type ownRequestHistory struct {
	// at and count are circular buffers with size samples, the newest at last.
	at    [historySamples]clock.Instant
	count [historySamples]int32
	last  int
	size  int
}

// add records the count from now on. Within historyInterval of the last sample
// it replaces that sample's count.
func (h *ownRequestHistory) add(count int, now clock.Instant) {
	if h.size > 0 && now.Sub(h.at[h.last]) < historyInterval {
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

// countAt returns the count at an instant. Before the oldest sample it returns
// the oldest count, or 0 if no sample has been overwritten yet.
func (h *ownRequestHistory) countAt(at clock.Instant) int {
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
