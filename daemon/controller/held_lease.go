package controller

import "github.com/sycamorecourse/sycamorecourse/coord/lease"

// heldLease is a lease with the runner of its steps.
type heldLease struct {
	*stepRunner
	lease *lease.Lease
}

// grant returns the right to act; it is not valid unless the lease is held.
func (l *heldLease) grant() grant {
	fence, err := l.lease.Fence(l.clock.Now())
	if err != nil {
		return grant{}
	}
	return grant{fence: fence, until: l.lease.ExpiresAt(), acquired: l.lease.Acquired()}
}
