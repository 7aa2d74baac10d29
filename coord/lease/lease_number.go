package lease

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// maxRaise bounds the distance by which a refused fencing number is raised at once. It is
// far below the distance between two timelines.
const maxRaise = 1 << 16

// Refused notes that a receiver has refused a fencing number as lower than another one.
// The lease is not held with that number from this call on. A holder takes a higher
// number, at an increasing distance each time: it does not know which one was seen. The
// owner carries out the steps as those of Next.
func (l *Lease) Refused(fence uint64, now clock.Instant) Step {
	if !l.owned || l.record.Fence != fence || l.refused == fence {
		return Wait{Until: max(l.nextAt, now)}
	}
	l.refused = fence
	l.raise = min(max(1, l.raise*2), maxRaise)
	l.nextAt = now
	return l.Next(now)
}

// Accepted notes that a receiver has accepted a fencing number.
func (l *Lease) Accepted(fence uint64) {
	if fence == l.record.Fence {
		l.raise = 0
	}
}

// takeOver requests the write that makes this candidate the next holder.
func (l *Lease) takeOver(cause Cause, former uint64, now clock.Instant) Step {
	l.requested = Acquisition{Cause: cause, Former: former, Timeline: l.timeline}
	l.raise = 0
	return l.write(Record{Holder: l.holder, Fence: numberAfter(l.highest, l.timeline)}, now)
}

// renew requests the write that renews the lease, with a higher fencing number if the
// present one was refused.
func (l *Lease) renew(now clock.Instant) Step {
	record := l.record
	if record.Fence == l.refused {
		l.requested = Acquisition{Cause: CauseRefused, Former: record.Fence, Timeline: l.timeline}
		record.Fence += l.raise
	}
	return l.write(record, now)
}
