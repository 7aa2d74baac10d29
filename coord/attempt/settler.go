package attempt

import (
	"github.com/go-faster/errors"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// Settler settles the claim of a holder that is thought dead. It watches the
// row for a whole window on the local clock and then makes it Unknown. Its
// last step is Duplicate with the settled record, or Done with the failure; a
// caller that is answered from that Duplicate may rely on it that no run of the
// attempt starts later.
//
// It is sound without comparing clocks: the deadline of the holder started
// before the write that made the row as it was first seen, and the row is
// changed only if it is still the same.
type Settler struct {
	window  Window
	id      ID
	version uint64
	record  Record
	since   clock.Instant // when the version was first seen
	writes  int
}

// NewSettler makes the settler of a claim that was found in the state Claimed.
func NewSettler(window Window, found Duplicate, now clock.Instant) *Settler {
	return &Settler{
		window:  window,
		id:      found.Record.ID,
		version: found.Version,
		record:  found.Record,
		since:   now,
	}
}

// Next waits for the end of the window and then asks for the row.
func (s *Settler) Next(now clock.Instant) Step {
	if until := s.since.Add(s.window.Length); now.Before(until) {
		return Wait{Until: until}
	}
	return Read{Key: s.id.Row()}
}

// ReadResult takes the result of the read that the last step asked for.
func (s *Settler) ReadResult(found row.Row, err error, now clock.Instant) Step {
	if err != nil {
		return Done{Err: &StoreError{ID: s.id, Err: err}}
	}
	if found.Version == 0 {
		return Done{}
	}
	record, err := DecodeRecord(found)
	if err != nil {
		return Done{Err: &InvalidRecordError{ID: s.id, Err: err}}
	}
	if record.State != Claimed {
		return Duplicate{Record: record, Version: found.Version}
	}
	if found.Version != s.version {
		s.version, s.record, s.since = found.Version, record, now
		return s.Next(now)
	}
	if s.writes >= maxWrites {
		return Done{Err: &StoreError{ID: s.id, Err: &TriesError{Tries: s.writes}}}
	}
	s.writes++
	record.State = Unknown
	return Write{Transaction: record.put(found.Version)}
}

// Written takes the result of the write that the last step asked for.
func (s *Settler) Written(err error, _ clock.Instant) Step {
	var conflict *row.ConflictError
	var unknown *row.UnknownError
	switch {
	case err == nil:
		s.record.State = Unknown
		return Duplicate{Record: s.record, Version: s.version + 1}
	case errors.As(err, &conflict), errors.As(err, &unknown):
		return Read{Key: s.id.Row()}
	default:
		return Done{Err: &StoreError{ID: s.id, Err: err}}
	}
}
