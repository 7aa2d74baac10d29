package confirm

import (
	"cmp"
	"slices"
)

// Tracker knows which version each process has reported. It is owned by one
// thread. Reports may come late, twice and out of order.
type Tracker struct {
	reported map[Process]uint64
	live     map[Process]bool
}

// NewTracker makes a tracker that knows no process.
func NewTracker() *Tracker {
	return &Tracker{reported: make(map[Process]uint64), live: make(map[Process]bool)}
}

// SetLive replaces the set of processes that have to report. What the others
// reported is forgotten. A restarted process is another one and reports anew.
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

// Report notes that a process has a version in force. It reports whether the
// process is known to be live; a report of another one is dropped.
func (t *Tracker) Report(p Process, version uint64) bool {
	if !t.live[p] {
		return false
	}
	t.reported[p] = max(t.reported[p], version)
	return true
}

// Missing returns the live processes that have not reported the version or a
// higher one, in a fixed order.
func (t *Tracker) Missing(version uint64) []Process {
	var missing []Process
	for p := range t.live {
		if t.reported[p] < version {
			missing = append(missing, p)
		}
	}
	slices.SortFunc(missing, compareProcesses)
	return missing
}

// Oldest returns the lowest version that a live process has reported; 0 if one
// has not reported or none is live.
func (t *Tracker) Oldest() uint64 {
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
