package confirm

import (
	"cmp"
	"slices"
)

// Tracker records the version that each live process has reported. It must be
// used by one thread only. Reports may be late, duplicate or out of order.
type Tracker struct {
	reported map[Process]uint64
	live     map[Process]bool
}

// NewTracker returns a Tracker without processes.
func NewTracker() *Tracker {
	return &Tracker{reported: make(map[Process]uint64), live: make(map[Process]bool)}
}

// SetLive replaces the set of processes that have to report, and drops the
// reports of all others. A restarted process counts as a new one.
func (t *Tracker) SetLive(live []Process) {
	t.live = make(map[Process]bool, len(live))
	for _, p := range live {
		t.live[p] = true
	}
	for p := range t.reported {
		if !t.live[p] {
			delete(t.reported, p)
		}
	}
}

// Report records that a process has a version in force. It returns false and
// drops the report if the process is not in the live set.
func (t *Tracker) Report(p Process, version uint64) bool {
	if !t.live[p] {
		return false
	}
	t.reported[p] = max(t.reported[p], version)
	return true
}

// Behind returns the live processes that have not reported the version or a
// higher one, ordered by instance and incarnation.
func (t *Tracker) Behind(version uint64) []Process {
	var missing []Process
	for p := range t.live {
		if t.reported[p] < version {
			missing = append(missing, p)
		}
	}
	slices.SortFunc(missing, compareProcesses)
	return missing
}

// LowestVersion returns the lowest version among the live processes. It is 0 if
// any of them has not reported, or if none is live.
func (t *Tracker) LowestVersion() uint64 {
	var oldest uint64
	first := true
	for p := range t.live {
		if version := t.reported[p]; first || version < oldest {
			oldest = version
			first = false
		}
	}
	return oldest
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}
