package prefix

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// linearBlocks is the number of blocks that Lookup looks at one by one, before
// it doubles the distance.
const linearBlocks = 16

// Index remembers approximately which upstreams hold which blocks, in bounded
// memory. The clock algorithm chooses the block to forget. One thread owns it.
type Index struct {
	cfg     IndexConfig
	places  map[uint64]int32
	entries []indexEntry
	// hand is the next entry that the clock algorithm looks at.
	hand int
	// matches is the result of the last Lookup.
	matches [MaxHolders]Match
}

// NewIndex returns an empty Index.
func NewIndex(cfg IndexConfig) *Index {
	return &Index{cfg: cfg.withDefaults(), places: make(map[uint64]int32)}
}

// Len is the number of blocks remembered.
func (x *Index) Len() int {
	return len(x.entries)
}

// Stored notes that a holder has blocks.
func (x *Index) Stored(h Holder, blocks []uint64, now clock.Instant) {
	for _, b := range blocks {
		x.entry(b).add(h, now)
	}
}

// Removed notes that a holder has blocks no longer.
func (x *Index) Removed(h Holder, blocks []uint64) {
	for _, b := range blocks {
		if i, known := x.places[b]; known {
			x.remove(int(i), h)
		}
	}
}

// remove takes a holder from an entry and forgets the block without holders.
// The place of the entry is used again when the clock hand comes to it.
func (x *Index) remove(i int, h Holder) {
	e := &x.entries[i]
	e.remove(h)
	if e.isEmpty() {
		e.used = false
		delete(x.places, e.block)
	}
}

// Lookup returns holders of the beginning of a prompt, longest first. The
// result is valid until the next call. Far below the longest a length may be
// short of the true one, as not all blocks are looked at.
func (x *Index) Lookup(blocks []uint64, now clock.Instant) []Match {
	found := x.matches[:0]
	depth := x.depth(blocks)
	for visited := 1; depth > 0; visited++ {
		e := &x.entries[x.places[blocks[depth-1]]]
		e.used = true
		found = x.addMatches(found, e, depth, now)
		if len(found) == MaxHolders || depth == 1 {
			break
		}
		depth = max(depth-stride(visited), 1)
		if _, known := x.places[blocks[depth-1]]; !known {
			break
		}
	}
	return found
}

// stride is the distance to the next block to look at.
func stride(visited int) int {
	return 1 << max(visited-linearBlocks, 0)
}

// depth returns how many of the first blocks are known. As a block is
// forgotten before those that precede it, a binary search finds the end.
func (x *Index) depth(blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if _, known := x.places[blocks[middle-1]]; known {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

func (x *Index) addMatches(found []Match, e *indexEntry, depth int, now clock.Instant) []Match {
	for i, h := range e.holders {
		if h == 0 || now.Sub(e.seen[i]) > x.cfg.Expiry || contains(found, h) {
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

// entry returns the entry of a block, a new one if it is not known.
func (x *Index) entry(block uint64) *indexEntry {
	if i, known := x.places[block]; known {
		x.entries[i].used = true
		return &x.entries[i]
	}
	i := x.vacant()
	x.entries[i] = indexEntry{block: block}
	x.places[block] = int32(i)
	return &x.entries[i]
}

// vacant returns the place for a new entry.
func (x *Index) vacant() int {
	if len(x.entries) < x.cfg.Capacity {
		x.entries = append(x.entries, indexEntry{})
		return len(x.entries) - 1
	}
	for x.entries[x.hand].used {
		x.entries[x.hand].used = false
		x.advance()
	}
	i := x.hand
	x.advance()
	if block := x.entries[i].block; x.places[block] == int32(i) {
		delete(x.places, block)
	}
	return i
}

func (x *Index) advance() {
	x.hand = (x.hand + 1) % len(x.entries)
}
