package member

import "cmp"

// Update is news of one process. Updates of one process are totally ordered.
type Update struct {
	// Peer is the process.
	Peer Peer `cbor:"1,keyasint"`
	// Counter is raised by the process itself to refute a suspicion.
	Counter uint64 `cbor:"2,keyasint"`
	// Leaving reports that the process has announced its end.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// Silence is Live, Suspect or Gone: how far the silence of the process has
	// been judged.
	Silence State `cbor:"4,keyasint"`
}

// State returns what is thought of the process.
func (u Update) State() State {
	if u.Leaving && u.Silence != Gone {
		return Leaving
	}
	return u.Silence
}

// isValid reports whether the update is one that a View makes.
func (u Update) isValid() bool {
	isJudged := u.Silence == Live || u.Silence == Suspect || u.Silence == Gone
	return isJudged && u.Peer.Instance != ""
}

// compare returns a positive number if u replaces v, which is of the same
// instance.
func (u Update) compare(v Update) int {
	return cmp.Or(
		cmp.Compare(u.Peer.Incarnation, v.Peer.Incarnation),
		compareBool(u.Leaving, v.Leaving),
		cmp.Compare(u.Counter, v.Counter),
		cmp.Compare(u.Silence, v.Silence),
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
