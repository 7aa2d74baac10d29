package controller

import "github.com/sycamorecourse/sycamorecourse/coord/lease"

// leaseRunner acquires and renews a lease.
type leaseRunner struct {
	*stepRunner
	lease *lease.Lease
}

// grant returns the permission to act under the lease. It is not valid unless
// the lease is held.
func (l *leaseRunner) grant() grant {
	fence, err := l.lease.Fence(l.clock.Now())
	if err != nil {
		return grant{}
	}
	return grant{fence: fence, expiresAt: l.lease.ExpiresAt(), acquired: l.lease.Acquired()}
}
