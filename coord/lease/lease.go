package lease

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Lease is the state machine of one lease at one candidate. It is used by one
// thread. At most one call to the table service is outstanding. Its result must
// always be handed in; a timeout counts as a *row.UnknownError.
type Lease struct {
	name   string
	config Config
	holder Holder

	version   uint64 // of the row as last known
	record    Record // of the row as last known
	watch     Watch  // on a record of another holder
	expiresAt clock.Instant
	// oldestUnknownWrite is the start of the oldest own write that may have made, or
	// may yet make, the next version; 0 if there is none.
	oldestUnknownWrite clock.Instant
	writeStartedAt     clock.Instant // of the last write
	writtenRecord      Record        // by the last write
	requested          Acquisition   // what the last takeover is to bring
	acquisition        Acquisition
	// refused is the fencing number that was last refused as outdated, and raise how far
	// the next one is raised above it.
	refused, raise uint64

	timeline uint64 // the newest in which the row was read
	mustRead bool   // a response came from a newer one: a read comes before the next write
	highest  uint64 // the highest fencing number known
	// reclaimUntil is until when this candidate, which held the lease when the table service
	// was restored, may take it over at once: nobody else does before.
	reclaimUntil clock.Instant

	nextAt          clock.Instant // when the next step is due
	callPending     bool          // a call to the table service is outstanding
	owned           bool          // the row as last known was written by this state machine
	releasing       bool
	releaseAttempts int
}

// New makes the state machine of a candidate, which does not hold the lease yet.
func New(name string, config Config, holder Holder) *Lease {
	return &Lease{name: name, config: config, holder: holder}
}

// Next returns the step that is due. The owner calls it at the start and at the
// end of each Wait.
func (l *Lease) Next(now clock.Instant) Step {
	switch {
	case l.callPending:
		return Wait{Until: now.Add(l.config.RetryEvery)}
	case now.Before(l.nextAt):
		return Wait{Until: l.nextAt}
	case l.owned && !l.releasing && !l.mustRead:
		return l.renew(now)
	default:
		return l.read()
	}
}

// Written handles the result of the write that the last step requested.
func (l *Lease) Written(err error, now clock.Instant) Step {
	l.callPending = false
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	var newer *row.TimelineError
	l.mustRead = l.mustRead || errors.As(err, &newer)
	switch {
	case err == nil:
		return l.writeApplied(now)
	case errors.As(err, &conflict):
		// The write may have been delivered twice, so that it conflicts with itself.
		l.markUnknownWrite()
		return l.read()
	case errors.As(err, &unknown):
		return l.writeUnknown(err, now)
	default:
		return l.callFailed(err, now)
	}
}

// ReadResult handles the result of the read that the last step requested.
func (l *Lease) ReadResult(found row.Row, err error, now clock.Instant) Step {
	l.callPending = false
	if err != nil {
		return l.callFailed(err, now)
	}
	if found.Timeline < l.timeline {
		return l.callFailed(&row.TimelineError{Call: l.timeline, Response: found.Timeline}, now)
	}
	l.mustRead = false
	if found.Timeline > l.timeline {
		l.enterTimeline(found.Timeline, now)
	}
	if found.Version == 0 {
		return l.rowAbsent(now)
	}
	record, err := DecodeRecord(found)
	if err != nil {
		return l.callFailed(err, now)
	}
	l.highest = max(l.highest, record.Fence)
	if record.Holder == l.holder && !record.Released && !l.isOfFormerTimeline(record) && l.isOwn(found.Version) {
		return l.foundOwn(found.Version, record, now)
	}
	return l.foundOther(found.Version, record, now)
}

// IsHeld reports whether this candidate holds the lease at now.
func (l *Lease) IsHeld(now clock.Instant) bool {
	return l.owned && !l.releasing && l.record.Fence != l.refused && now.Before(l.expiresAt)
}

// Fence returns the fencing number to send with an operation. The owner calls it
// right before each operation, with a fresh reading of the clock. It fails with a
// *NotHeldError.
func (l *Lease) Fence(now clock.Instant) (uint64, error) {
	if !l.IsHeld(now) {
		return 0, &NotHeldError{Name: l.name}
	}
	return l.record.Fence, nil
}

// ExpiresAt returns when the lease ends unless it is renewed. It is valid only
// while IsHeld.
func (l *Lease) ExpiresAt() clock.Instant {
	return l.expiresAt
}

// Acquired returns how the lease was acquired. It is valid only while IsHeld.
func (l *Lease) Acquired() Acquisition {
	return l.acquisition
}

// LastKnown returns the record that was last read or written, for reports.
func (l *Lease) LastKnown() Record {
	return l.record
}

func (l *Lease) rowAbsent(now clock.Instant) Step {
	l.version = 0
	l.owned = false
	l.watch.Observe(0, now)
	switch {
	case l.releasing:
		return Ended{}
	case l.mayReclaim(now):
		return l.takeOver(CauseRestored, 0, now)
	case l.timeline == 0, l.watch.HasExpired(l.config.TTL, now):
		return l.takeOver(CauseAbsent, 0, now)
	default:
		// The copy may be older than the lease, which somebody may still hold.
		return l.waitForWatch(now)
	}
}

// waitForWatch waits until the watch may have expired, with reads in between.
func (l *Lease) waitForWatch(now clock.Instant) Step {
	l.nextAt = min(now.Add(l.config.WatchEvery), l.watch.ExpiresAt(l.config.TTL))
	return Wait{Until: l.nextAt}
}

// isOwn reports whether a version that names this holder was written by this state
// machine: it is known as such, or it is new while the outcome of a write is
// unknown. Otherwise another process uses the same name and incarnation.
func (l *Lease) isOwn(version uint64) bool {
	if version == l.version {
		return l.owned
	}
	return l.oldestUnknownWrite != 0
}

func (l *Lease) foundOwn(version uint64, record Record, now clock.Instant) Step {
	if version != l.version {
		// One of the writes of unknown outcome took effect.
		l.markOwned(version, record, l.oldestUnknownWrite, now)
	}
	l.record = record
	if l.releasing {
		return l.release(now)
	}
	if l.IsHeld(now) && now.Before(l.nextAt) {
		return Wait{Until: l.nextAt}
	}
	return l.renew(now)
}

func (l *Lease) foundOther(version uint64, record Record, now clock.Instant) Step {
	if version != l.version {
		l.oldestUnknownWrite = 0
	}
	l.version = version
	l.record = record
	l.owned = false
	l.watch.Observe(version, now)
	switch {
	case l.releasing:
		return Ended{}
	case l.isOfFormerTimeline(record) && l.mayReclaim(now):
		return l.takeOver(CauseRestored, record.Fence, now)
	case record.Released && !l.isOfFormerTimeline(record):
		return l.takeOver(CauseReleased, record.Fence, now)
	case l.watch.HasExpired(l.config.TTL, now):
		return l.takeOver(CauseExpired, record.Fence, now)
	default:
		return l.waitForWatch(now)
	}
}

// writeApplied continues after a write that took effect.
func (l *Lease) writeApplied(now clock.Instant) Step {
	if l.writtenRecord.Released {
		l.owned = false
		l.record = l.writtenRecord
		return Ended{}
	}
	if l.writtenRecord.Fence != l.record.Fence || !l.writeStartedAt.Before(l.expiresAt) {
		// A new number, or a lease that had expired meanwhile, counts only once the row
		// says so: the response may be that to an earlier write.
		l.markUnknownWrite()
		return l.read()
	}
	l.markOwned(l.version+1, l.writtenRecord, l.writeStartedAt, now)
	if l.releasing {
		return l.release(now)
	}
	return Wait{Until: l.nextAt}
}

// markOwned records that the row is this holder's own, by a write that was started
// at start.
func (l *Lease) markOwned(version uint64, record Record, start, now clock.Instant) {
	if record.Fence != l.acquisition.Fence {
		l.acquisition = l.requested
		l.acquisition.Fence, l.acquisition.At, l.acquisition.First = record.Fence, now, l.requested.Cause == CauseAbsent && l.timeline == 0
	}
	l.version = version
	l.record = record
	l.owned = true
	l.highest = max(l.highest, record.Fence)
	l.expiresAt = max(l.expiresAt, start.Add(l.config.TTL-l.config.Margin))
	l.oldestUnknownWrite = 0
	l.nextAt = start.Add(l.config.RenewEvery)
	if record.Fence == l.refused {
		l.nextAt = now
	}
}

// writeUnknown continues after a write of unknown outcome: it reads the row back
// at once after the first such write, and after a delay for later ones.
func (l *Lease) writeUnknown(err error, now clock.Instant) Step {
	if l.oldestUnknownWrite != 0 {
		return l.callFailed(err, now)
	}
	l.markUnknownWrite()
	return l.read()
}

// markUnknownWrite records that the last write may have made, or may yet make, the
// next version.
func (l *Lease) markUnknownWrite() {
	if l.oldestUnknownWrite == 0 {
		l.oldestUnknownWrite = l.writeStartedAt
	}
}

func (l *Lease) callFailed(err error, now clock.Instant) Step {
	if l.releasing {
		return Ended{Err: err}
	}
	l.nextAt = now.Add(l.config.RetryEvery)
	return Wait{Until: l.nextAt}
}

func (l *Lease) write(record Record, now clock.Instant) Step {
	l.callPending = true
	l.writeStartedAt = now
	l.writtenRecord = record
	return Write{Transaction: row.Transaction{Changes: []row.Change{{
		Key:    Key(l.name),
		Expect: l.version,
		Value:  codec.Encode(record),
	}}}}
}

func (l *Lease) read() Step {
	l.callPending = true
	return Read{Key: Key(l.name)}
}
