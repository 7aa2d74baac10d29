package prefix

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// MaxHolders bounds the holders that are remembered of one block.
const MaxHolders = 16

// indexEntry is a block with those that hold it. The zero Holder is none.
type indexEntry struct {
	block   uint64
	holders [MaxHolders]Holder
	seen    [MaxHolders]clock.Instant
	// used is set by each access and cleared by the clock hand.
	used bool
}

// add notes a holder, in the place of the one heard of the longest ago if
// there is no room.
func (e *indexEntry) add(h Holder, now clock.Instant) {
	oldest := 0
	for i, known := range e.holders {
		if known == h {
			e.seen[i] = now
			return
		}
		if e.isOlder(i, oldest) {
			oldest = i
		}
	}
	e.holders[oldest] = h
	e.seen[oldest] = now
}

// isOlder reports whether place i is to be used before place j.
func (e *indexEntry) isOlder(i, j int) bool {
	if e.holders[i] == 0 || e.holders[j] == 0 {
		return e.holders[j] != 0
	}
	return e.seen[i] < e.seen[j]
}

func (e *indexEntry) remove(h Holder) {
	for i, known := range e.holders {
		if known == h {
			e.holders[i] = 0
			e.seen[i] = 0
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
