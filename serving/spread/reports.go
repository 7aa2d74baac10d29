package spread

import "github.com/cespare/xxhash/v2"

// reports holds which processes are known to have the newest version.
type reports struct {
	version uint64
	holders map[uint64]bool
	// highest is the highest version that a process was known to have.
	highest map[uint64]uint64
}

func newReports() *reports {
	return &reports{holders: make(map[uint64]bool), highest: make(map[uint64]uint64)}
}

// hashOf returns the hash that stands for a process in reports.
func hashOf(id string) uint64 {
	return xxhash.Sum64String(id)
}

// add takes a report. It returns true when something in it was new.
func (r *reports) add(version uint64, holders []uint64) bool {
	if version < r.version {
		return false
	}
	if version > r.version {
		r.version = version
		r.holders = make(map[uint64]bool)
	}
	isNew := false
	for _, h := range holders {
		if !r.holders[h] {
			r.holders[h] = true
			r.highest[h] = version
			isNew = true
		}
	}
	return isNew
}

// forget drops a process.
func (r *reports) forget(id string) {
	delete(r.highest, hashOf(id))
	delete(r.holders, hashOf(id))
}

// digest is the same for the same holders, in whatever order they came.
func (r *reports) digest() uint64 {
	var sum uint64
	for h := range r.holders {
		sum ^= h
	}
	return sum
}
