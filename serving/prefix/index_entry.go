package prefix

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// MaxHolders is the maximum number of holders of a block in an Index, and of
// matches of a Lookup.
const MaxHolders = 16

// indexEntry is a block with its holders. The holder 0 marks an unused place.
type indexEntry struct {
	block    uint64
	holders  [MaxHolders]Holder
	lastSeen [MaxHolders]clock.Instant
	// used is set by each access and cleared by the clock hand.
	used bool
}

// add records a holder. If all places are used, it replaces the holder that was
// recorded the longest ago.
func (e *indexEntry) add(h Holder, now clock.Instant) {
	oldest := 0
	for i, known := range e.holders {
		if known == h {
			e.lastSeen[i] = now
			return
		}
		if e.isReplacedFirst(i, oldest) {
			oldest = i
		}
	}
	e.holders[oldest] = h
	e.lastSeen[oldest] = now
}

// isReplacedFirst reports whether add uses place i before place j: unused places
// come first, then the oldest.
func (e *indexEntry) isReplacedFirst(i, j int) bool {
	if e.holders[i] == 0 || e.holders[j] == 0 {
		return e.holders[j] != 0
	}
	return e.lastSeen[i] < e.lastSeen[j]
}

func (e *indexEntry) remove(h Holder) {
	for i, known := range e.holders {
		if known == h {
			e.holders[i] = 0
			e.lastSeen[i] = 0
		}
	}
}

func (e *indexEntry) isEmpty() bool {
	for _, h := range e.holders {
		if h != 0 {
			return false
		}
	}
	return true
}
