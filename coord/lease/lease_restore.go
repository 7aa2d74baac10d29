package lease

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// enterTimeline starts over in a new timeline of the table service. What was read and
// written in a former one, the holder's own record included, may be lost.
func (l *Lease) enterTimeline(timeline uint64, now clock.Instant) {
	if l.IsHeld(now) {
		l.reclaimUntil = l.expiresAt
	}
	l.timeline = timeline
	l.version, l.owned, l.oldestUnknownWrite, l.expiresAt = 0, false, 0, 0
	l.watch = Watch{}
}

// isOfFormerTimeline reports whether the number of a record was given out in a former
// timeline. Such a record does not tell who held the lease when the table service was
// restored.
func (l *Lease) isOfFormerTimeline(record Record) bool {
	return numberTimeline(record.Fence) < l.timeline
}

// mayReclaim reports whether this candidate held the lease when the table service was
// restored and may go on at once: all others watch for a whole TTL first.
func (l *Lease) mayReclaim(now clock.Instant) bool {
	return now.Before(l.reclaimUntil)
}
