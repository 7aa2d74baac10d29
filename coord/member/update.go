package member

import "cmp"

// Update is the believed state of one process, as gossiped between processes. The
// updates of one instance are totally ordered.
type Update struct {
	// Peer identifies the process.
	Peer Peer `cbor:"1,keyasint"`
	// Counter is raised only by the process itself, to refute a suspicion.
	Counter uint64 `cbor:"2,keyasint"`
	// Leaving reports that the process has announced that it will end.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Liveness is Live, Suspect or Gone, according to the heartbeats of the
	// process.
	Liveness State `cbor:"4,keyasint"`
}

// State returns the state of the process, combined from Liveness and Leaving.
func (u Update) State() State {
	if u.Leaving && u.Liveness != Gone {
		return Leaving
	}
	return u.Liveness
}

// isValid reports whether the update is one that a View can produce.
func (u Update) isValid() bool {
	validLiveness := u.Liveness == Live || u.Liveness == Suspect || u.Liveness == Gone
	return validLiveness && u.Peer.Instance != ""
}

// compare returns a positive number if u replaces v, an update of the same
// instance.
func (u Update) compare(v Update) int {
	return cmp.Or(
		cmp.Compare(u.Peer.Incarnation, v.Peer.Incarnation),
		compareBool(u.Leaving, v.Leaving),
		cmp.Compare(u.Counter, v.Counter),
		cmp.Compare(u.Liveness, v.Liveness),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
