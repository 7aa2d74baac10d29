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
	// Revision identifies the order: a later one of the same service has a higher one.
	Revision uint64
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
