package lease

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/internal/codec"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// maxReleases bounds the tries to write a release.
const maxReleases = 3

// Lease is the state machine of one lease at one candidate. It is owned by one
// thread. At most one call to the table service is outstanding, and its result
// must be handed in, be it a timeout as a *row.UnknownError.
type Lease struct {
	name   string
	config Config
	holder Holder

	version uint64        // of the row as last known
	record  Record        // as last known
	watch   Watch         // of another's record
	until   clock.Instant // end of the own lease
	oldest  clock.Instant // start of the oldest own write that may have made, or may yet make, the next version
	started clock.Instant // start of the outstanding write
	written Record        // by the outstanding write
	at      Acquisition

	nextAt    clock.Instant
	busy      bool // a call is outstanding
	owned     bool // the row is the holder's own as last known
	releasing bool
	releases  int
}

// New makes the state machine of a candidate.
func New(name string, config Config, holder Holder) *Lease {
	return &Lease{name: name, config: config, holder: holder}
}

// Next returns the step that is due. It is to be called at the start and at the
// end of each Wait.
func (l *Lease) Next(now clock.Instant) Step {
	switch {
	case l.busy:
		return Wait{Until: now.Add(l.config.RetryEvery)}
	case now.Before(l.nextAt):
		return Wait{Until: l.nextAt}
	case l.owned && !l.releasing:
		return l.put(l.record, now)
	default:
		return l.read()
	}
}

// Written takes the result of the write that the last step asked for.
func (l *Lease) Written(err error, now clock.Instant) Step {
	l.busy = false
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case err == nil:
		return l.applied(now)
	case errors.As(err, &conflict):
		// The row may be the same write, delivered twice.
		l.mayHaveWritten()
		return l.read()
	case errors.As(err, &unknown):
		return l.unknown(err, now)
	default:
		return l.failed(err, now)
	}
}

// ReadResult takes the result of the read that the last step asked for.
func (l *Lease) ReadResult(found row.Row, err error, now clock.Instant) Step {
	l.busy = false
	if err != nil {
		return l.failed(err, now)
	}
	if found.Version == 0 {
		return l.absent(now)
	}
	record, err := DecodeRecord(found)
	if err != nil {
		return l.failed(err, now)
	}
	if record.Holder == l.holder && !record.Released && l.isOwn(found.Version) {
		return l.foundOwn(found.Version, record, now)
	}
	return l.foundOther(found.Version, record, now)
}

// IsHeld reports whether the lease is held at this instant.
func (l *Lease) IsHeld(now clock.Instant) bool {
	return l.owned && !l.releasing && now.Before(l.until)
}

// Fence returns the fencing number to send with an act at this instant. It is
// to be called right before each act, with a fresh reading of the clock. It
// fails with a *NotHeldError.
func (l *Lease) Fence(now clock.Instant) (uint64, error) {
	if !l.IsHeld(now) {
		return 0, &NotHeldError{Name: l.name}
	}
	return l.record.Fence, nil
}

// Until returns the end of the own lease; it has a meaning while IsHeld.
func (l *Lease) Until() clock.Instant {
	return l.until
}

// Acquired says how the lease was acquired; it has a meaning while IsHeld.
func (l *Lease) Acquired() Acquisition {
	return l.at
}

// LastKnown returns the record of the row as last known, for reports.
func (l *Lease) LastKnown() Record {
	return l.record
}

// Release gives the lease up. It is not held from this call on. The steps go on
// until Ended.
func (l *Lease) Release(now clock.Instant) Step {
	l.releasing = true
	l.nextAt = now
	if l.busy {
		return Wait{Until: now.Add(l.config.RetryEvery)}
	}
	return l.release(now)
}

func (l *Lease) absent(now clock.Instant) Step {
	l.version = 0
	l.owned = false
	if l.releasing {
		return Ended{}
	}
	return l.put(Record{Holder: l.holder, Fence: 1}, now)
}

// isOwn reports whether a version that bears the name of the holder is of this
// state machine: it is known as such, or new while a write may have landed.
// Otherwise another process bears the same name and incarnation.
func (l *Lease) isOwn(version uint64) bool {
	if version == l.version {
		return l.owned
	}
	return l.oldest != 0
}

func (l *Lease) foundOwn(version uint64, record Record, now clock.Instant) Step {
	if version != l.version {
		// One of the writes of unknown outcome has landed.
		l.own(version, record, l.oldest, now)
	}
	l.record = record
	if l.releasing {
		return l.release(now)
	}
	if l.IsHeld(now) && now.Before(l.nextAt) {
		return Wait{Until: l.nextAt}
	}
	return l.put(l.record, now)
}

func (l *Lease) foundOther(version uint64, record Record, now clock.Instant) Step {
	if version != l.version {
		l.oldest = 0
	}
	l.version = version
	l.record = record
	l.owned = false
	l.watch.Observe(version, now)
	switch {
	case l.releasing:
		return Ended{}
	case record.Released, l.watch.HasExpired(l.config.TTL, now):
		return l.put(Record{Holder: l.holder, Fence: record.Fence + 1}, now)
	default:
		l.nextAt = min(now.Add(l.config.WatchEvery), l.watch.ExpiresAt(l.config.TTL))
		return Wait{Until: l.nextAt}
	}
}

// applied goes on after a write that surely took effect.
func (l *Lease) applied(now clock.Instant) Step {
	if l.written.Released {
		l.owned = false
		l.record = l.written
		return Ended{}
	}
	l.own(l.version+1, l.written, l.started, now)
	if l.releasing {
		return l.release(now)
	}
	return Wait{Until: l.nextAt}
}

// own takes note of a row that was written at the given start.
func (l *Lease) own(version uint64, record Record, start, now clock.Instant) {
	if record.Fence != l.at.Fence {
		l.at = Acquisition{Fence: record.Fence, At: now, First: record.Fence == 1}
	}
	l.version = version
	l.record = record
	l.owned = true
	l.until = max(l.until, start.Add(l.config.TTL-l.config.Margin))
	l.oldest = 0
	l.nextAt = start.Add(l.config.RenewEvery)
}

func (l *Lease) release(now clock.Instant) Step {
	if !l.owned && l.oldest == 0 {
		return Ended{}
	}
	if l.releases >= maxReleases {
		return Ended{Err: &TriesError{Tries: l.releases}}
	}
	if !l.owned {
		return l.read()
	}
	l.releases++
	record := l.record
	record.Released = true
	return l.put(record, now)
}

// unknown reads back at once the first time, and slows down after that.
func (l *Lease) unknown(err error, now clock.Instant) Step {
	if l.oldest != 0 {
		return l.failed(err, now)
	}
	l.mayHaveWritten()
	return l.read()
}

// mayHaveWritten notes that the last write may make the next version.
func (l *Lease) mayHaveWritten() {
	if l.oldest == 0 {
		l.oldest = l.started
	}
}

func (l *Lease) failed(err error, now clock.Instant) Step {
	if l.releasing {
		return Ended{Err: err}
	}
	l.nextAt = now.Add(l.config.RetryEvery)
	return Wait{Until: l.nextAt}
}

func (l *Lease) put(record Record, now clock.Instant) Step {
	l.busy = true
	l.started = now
	l.written = record
	return Write{Transaction: row.Transaction{Changes: []row.Change{{
		Key:    Key(l.name),
		Expect: l.version,
		Value:  codec.Encode(record),
	}}}}
}

func (l *Lease) read() Step {
	l.busy = true
	return Read{Key: Key(l.name)}
}
