package spread

// reports tracks which processes hold which configuration version. Processes
// are named by Member.holderName.
type reports struct {
	// version is the newest version reported, and holders the processes known
	// to hold it.
	version uint64
	holders map[uint64]bool
	// highest is the highest version that each process is known to hold.
	highest map[uint64]uint64
}

func newReports() *reports {
	return &reports{holders: make(map[uint64]bool), highest: make(map[uint64]uint64)}
}

// add adds holders of a version and returns whether some are new. It ignores
// versions older than the newest.
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

// remove deletes what is known of a process.
func (r *reports) remove(m Member) {
	delete(r.highest, m.holderName())
	delete(r.holders, m.holderName())
}

// digest returns a hash of the holders that doesn't depend on their order.
func (r *reports) digest() uint64 {
	var sum uint64
	for h := range r.holders {
		sum ^= h
	}
	return sum
}
