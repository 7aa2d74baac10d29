package rollout

import "time"

// Stage is how far a roll-out has come.
type Stage struct {
	// Service and To are those of the order, and Revision identifies it.
	Service  string `cbor:"1,keyasint"`
	To       string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	// Sequence counts the stages of the order.
	Sequence uint64 `cbor:"4,keyasint"`
	State    State  `cbor:"5,keyasint"`
	// Share is the part of the requests, from 0 to 1, that go to the new version.
	Share float64 `cbor:"6,keyasint"`
	// StartedAt is when the roll-out began, and StageAt this stage, by the store's clock.
	StartedAt time.Duration `cbor:"7,keyasint"`
	StageAt   time.Duration `cbor:"8,keyasint"`
	// Former are the other versions that the service had when the roll-out was completed.
	// Versions that come later are none of its concern.
	Former []string `cbor:"9,keyasint,omitempty"`
}

// IsNewer reports whether the stage replaces another one of the same service. One that
// ended a roll-out is never replaced by one in which it still ran.
func (s Stage) IsNewer(than Stage) bool {
	if s.Revision != than.Revision {
		return s.Revision > than.Revision
	}
	return s.Sequence > than.Sequence
}

// HasEnded reports whether the roll-out has ended.
func (s Stage) HasEnded() bool {
	return s.State == Completed || s.State == RolledBack
}
