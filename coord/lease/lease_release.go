package lease

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// maxReleaseAttempts bounds the writes that try to release a lease.
const maxReleaseAttempts = 3

// Release starts to release the lease, which is not held from this call on. The
// owner carries out the steps until Ended.
func (l *Lease) Release(now clock.Instant) Step {
	l.releasing = true
	l.nextAt = now
	if l.callPending {
		return Wait{Until: now.Add(l.config.RetryEvery)}
	}
	return l.release(now)
}

func (l *Lease) release(now clock.Instant) Step {
	if !l.owned && l.oldestUnknownWrite == 0 {
		return Ended{}
	}
	if l.releaseAttempts >= maxReleaseAttempts {
		return Ended{Err: &RetriesExhaustedError{Attempts: l.releaseAttempts}}
	}
	if !l.owned {
		return l.read()
	}
	l.releaseAttempts++
	record := l.record
	record.Released = true
	return l.write(record, now)
}
