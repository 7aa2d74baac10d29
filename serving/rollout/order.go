package rollout

import "time"

// maxDuration bounds the duration of a roll-out. A longer one is taken for a mistake.
const maxDuration = 24 * time.Hour

// Order is an operator's order to move a service to a version.
type Order struct {
	// Service names the service.
	Service string
	// To is the version.
	To string
	// Duration is the time in which the roll-out should end.
	Duration time.Duration
	// Revision identifies the order: a later one of the same service has a higher one. If
	// the store is restored from an older copy, the same order gets another one.
	Revision uint64
}

// isSame reports whether a revision of an order to move a service to a version is of the
// same order: it is the same one, or one of another timeline of the store.
func (o Order) isSame(service, to string, revision uint64) bool {
	if service != o.Service {
		return false
	}
	return revision == o.Revision || (to == o.To && timelineOf(revision) != timelineOf(o.Revision))
}

// outdates reports whether another order may be an earlier one that is in force again
// since the store was restored from an older copy.
func (o Order) outdates(other Order) bool {
	return o.Service == other.Service && o.To != other.To &&
		timelineOf(o.Revision) < timelineOf(other.Revision) && versionOf(o.Revision) > versionOf(other.Revision)
}

// Check fails with an *OrderError if the order can't be carried out.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return &OrderError{Field: "service"}
	case o.To == "":
		return &OrderError{Field: "version"}
	case o.Duration <= 0 || o.Duration > maxDuration:
		return &OrderError{Field: "duration"}
	default:
		return nil
	}
}
