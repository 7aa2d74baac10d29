package attempt

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Resolver resolves the claim of a holder that is presumed dead. It waits until
// the version of the row has been unchanged for a whole window on the local
// clock, and then changes the row to Unknown. The last step is a Duplicate with
// the resolved record, after which no run of the attempt starts, or Done if the
// row is gone or can't be changed.
//
// This needs no comparison of clocks: the holder computed its deadline before it
// wrote the version that the Resolver saw first, and the Resolver changes the row
// only if it still has that version.
type Resolver struct {
	window  Window
	id      ID
	version uint64
	record  Record
	since   clock.Instant // when this version was first seen
	writes  int
}

// NewResolver returns the resolver of a claim found in the state Claimed.
func NewResolver(window Window, found Duplicate, now clock.Instant) *Resolver {
	return &Resolver{
		window:  window,
		id:      found.Record.ID,
		version: found.Version,
		record:  found.Record,
		since:   now,
	}
}

// Next waits for the end of the window and then requests a read of the row.
func (r *Resolver) Next(now clock.Instant) Step {
	if until := r.since.Add(r.window.Length); now.Before(until) {
		return Wait{Until: until}
	}
	return Read{Key: r.id.RowKey()}
}

// ReadResult handles the result of the read that the last step requested.
func (r *Resolver) ReadResult(found row.Row, err error, now clock.Instant) Step {
	if err != nil {
		return Done{Err: &StoreError{ID: r.id, Err: err}}
	}
	if found.Version == 0 {
		return Done{}
	}
	record, err := DecodeRecord(found)
	if err != nil {
		return Done{Err: &InvalidRecordError{ID: r.id, Err: err}}
	}
	if record.State != Claimed {
		return Duplicate{Record: record, Version: found.Version}
	}
	if found.Version != r.version {
		r.version, r.record, r.since = found.Version, record, now
		return r.Next(now)
	}
	if r.writes >= maxWrites {
		return Done{Err: &StoreError{ID: r.id, Err: &RetriesExhaustedError{Tries: r.writes}}}
	}
	r.writes++
	record.State = Unknown
	return Write{Transaction: record.transaction(found.Version)}
}

// Written handles the result of the write that the last step requested.
func (r *Resolver) Written(err error, _ clock.Instant) Step {
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case err == nil:
		r.record.State = Unknown
		return Duplicate{Record: r.record, Version: r.version + 1}
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return Read{Key: r.id.RowKey()}
	default:
		return Done{Err: &StoreError{ID: r.id, Err: err}}
	}
}
