package rollout

import "time"

// Stage is how far a roll-out has come.
type Stage struct {
	// Service and To are those of the order, and Revision identifies it.
	Service  string `cbor:"1,keyasint"`
	To       string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	// Sequence counts the stages of the order. It may leave numbers out.
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
	// After is the revision of the newest stage of the service that was known when the
	// roll-out began. Stages up to it are of other roll-outs.
	After uint64 `cbor:"10,keyasint,omitempty"`
	// CarriedAt is when the stage was taken over from a former timeline of the store, by
	// the store's clock; 0 if it was not.
	CarriedAt time.Duration `cbor:"11,keyasint,omitempty"`
}

// Concerns reports whether the stage is of an order: it has its revision, or that of the
// same order in another timeline of the store.
func (s Stage) Concerns(o Order) bool {
	return o.isSame(s.Service, s.To, s.Revision)
}

// Outdates reports whether an order may be an earlier one than that of the stage, in force
// again since the store was restored from an older copy.
func (s Stage) Outdates(o Order) bool {
	return Order{Service: s.Service, To: s.To, Revision: s.Revision}.outdates(o)
}

// In returns the stage with a sequence above all that were given out in the timelines
// before one.
func (s Stage) In(timeline uint64) Stage {
	s.Sequence = max(s.Sequence, timeline<<versionBits+1)
	return s
}

// isSameRollout reports whether two stages are of one roll-out, as far as is known.
func (s Stage) isSameRollout(other Stage) bool {
	if s.Revision == other.Revision {
		return true
	}
	later, earlier := s, other
	if later.Revision < earlier.Revision {
		later, earlier = earlier, later
	}
	return earlier.Concerns(Order{Service: later.Service, To: later.To, Revision: later.Revision}) && earlier.Revision > later.After
}

// IsNewer reports whether the stage replaces another one of the same service. One that
// ended a roll-out is never replaced by one in which it still ran.
func (s Stage) IsNewer(than Stage) bool {
	if s.HasEnded() != than.HasEnded() && s.isSameRollout(than) {
		return s.HasEnded()
	}
	if s.Revision != than.Revision {
		return s.Revision > than.Revision
	}
	return s.Sequence > than.Sequence
}

// HasEnded reports whether the roll-out has ended.
func (s Stage) HasEnded() bool {
	return s.State == Completed || s.State == RolledBack
}
