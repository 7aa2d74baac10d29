package prefix

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// linearVisits is the number of blocks that Lookup visits one by one, before it
// doubles the distance to the next block with each visit.
const linearVisits = 16

// Index records approximately which upstreams hold which blocks, in bounded
// memory. The clock algorithm chooses the block to replace. It is not safe for
// concurrent use: one thread owns it.
type Index struct {
	cfg IndexConfig
	// slots holds the index in entries by block.
	slots   map[uint64]int32
	entries []indexEntry
	// clockHand is the next entry that the clock algorithm examines.
	clockHand int
	// matches holds the result of the last Lookup.
	matches [MaxHolders]Match
}

// NewIndex returns an empty Index.
func NewIndex(cfg IndexConfig) *Index {
	return &Index{cfg: cfg.withDefaults(), slots: make(map[uint64]int32)}
}

// Len returns the number of entries, including those that Remove emptied and
// that are not used again yet.
func (x *Index) Len() int {
	return len(x.entries)
}

// Add records that a holder has blocks.
func (x *Index) Add(h Holder, blocks []uint64, now clock.Instant) {
	for _, b := range blocks {
		x.entry(b).add(h, now)
	}
}

// Remove records that a holder no longer has blocks.
func (x *Index) Remove(h Holder, blocks []uint64) {
	for _, b := range blocks {
		if i, known := x.slots[b]; known {
			x.removeHolder(int(i), h)
		}
	}
}

// removeHolder removes a holder from an entry, and the block from the index if
// that was its last holder. The entry is used again when the clock hand comes to
// it.
func (x *Index) removeHolder(i int, h Holder) {
	e := &x.entries[i]
	e.remove(h)
	if e.isEmpty() {
		e.used = false
		delete(x.slots, e.block)
	}
}

// Lookup returns the holders of the beginning of a prompt, those with the most
// blocks first. The result is valid until the next call. As Lookup skips blocks
// when it is far from the longest match, a short match may be reported shorter
// than it is.
func (x *Index) Lookup(blocks []uint64, now clock.Instant) []Match {
	found := x.matches[:0]
	depth := x.knownBlocks(blocks)
	for visited := 1; depth > 0; visited++ {
		e := &x.entries[x.slots[blocks[depth-1]]]
		e.used = true
		found = x.appendMatches(found, e, depth, now)
		if len(found) == MaxHolders || depth == 1 {
			break
		}
		depth = max(depth-stride(visited), 1)
		if _, known := x.slots[blocks[depth-1]]; !known {
			break
		}
	}
	return found
}

// stride returns the distance to the next block to visit.
func stride(visited int) int {
	return 1 << max(visited-linearVisits, 0)
}

// knownBlocks returns how many blocks from the first on are in the index. It is a
// binary search, which relies on a block being removed before those that precede
// it in the prompt.
func (x *Index) knownBlocks(blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if _, known := x.slots[blocks[middle-1]]; known {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// appendMatches adds the holders of an entry that are neither expired nor found
// already.
func (x *Index) appendMatches(found []Match, e *indexEntry, depth int, now clock.Instant) []Match {
	for i, h := range e.holders {
		if h == 0 || now.Sub(e.lastSeen[i]) > x.cfg.Expiry || contains(found, h) {
			continue
		}
		if len(found) == MaxHolders {
			return found
		}
		found = append(found, Match{Holder: h, Blocks: depth})
	}
	return found
}

func contains(found []Match, h Holder) bool {
	for i := range found {
		if found[i].Holder == h {
			return true
		}
	}
	return false
}

// entry returns the entry of a block, and creates it if there is none.
func (x *Index) entry(block uint64) *indexEntry {
	if i, known := x.slots[block]; known {
		x.entries[i].used = true
		return &x.entries[i]
	}
	i := x.allocate()
	x.entries[i] = indexEntry{block: block}
	x.slots[block] = int32(i)
	return &x.entries[i]
}

// allocate returns the index in entries for a new entry. If the index is full,
// it replaces the next entry that was not used since the clock hand last passed.
func (x *Index) allocate() int {
	if len(x.entries) < x.cfg.Capacity {
		x.entries = append(x.entries, indexEntry{})
		return len(x.entries) - 1
	}
	for x.entries[x.clockHand].used {
		x.entries[x.clockHand].used = false
		x.advanceHand()
	}
	i := x.clockHand
	x.advanceHand()
	// An entry that removeHolder emptied is not in slots any more.
	if block := x.entries[i].block; x.slots[block] == int32(i) {
		delete(x.slots, block)
	}
	return i
}

func (x *Index) advanceHand() {
	x.clockHand = (x.clockHand + 1) % len(x.entries)
}
