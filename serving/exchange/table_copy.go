package exchange

import "github.com/sycamorecourse/sycamorecourse/coord/clock"

// maxTombstones is the number of removed rows that a copy remembers.
const maxTombstones = 4096

// TableCopy is a copy of a table of the store with the version of each row, from
// which the changes since any recent position can be told. One thread owns it.
type TableCopy struct {
	table   string
	entries map[string]Entry
	cursor  Cursor
	// completeFrom is the least version of the cursor's timeline since which all removals
	// are remembered.
	completeFrom uint64
	tombstones   int
	confirmedAt  clock.Instant
	available    bool
}

// NewTableCopy makes an empty copy of a table.
func NewTableCopy(table string) *TableCopy {
	return &TableCopy{table: table, entries: make(map[string]Entry)}
}

// Position returns the position up to which the copy is complete.
func (t *TableCopy) Position() Position {
	return t.cursor.Position()
}

// Apply applies an update of which it is known that it was current at an instant, if its
// cursor accepts it.
func (t *TableCopy) Apply(u TableUpdate, confirmedAt clock.Instant) Verdict {
	verdict := t.cursor.Accept(u.Span())
	if !verdict.IsApplied() {
		return verdict
	}
	if u.Full {
		t.replace(u)
	}
	for _, e := range u.Entries {
		t.set(e)
	}
	t.confirmedAt = max(t.confirmedAt, confirmedAt)
	t.available = true
	t.dropTombstones()
	return verdict
}

// replace removes the rows that a full update lacks. When they were removed is not
// known, so changes can't be told from before the update.
func (t *TableCopy) replace(u TableUpdate) {
	t.entries = make(map[string]Entry, len(u.Entries))
	t.tombstones = 0
	t.completeFrom = u.Version
}

func (t *TableCopy) set(e Entry) {
	if old, ok := t.entries[e.Key]; ok && old.Removed {
		t.tombstones--
	}
	if e.Removed {
		t.tombstones++
	}
	t.entries[e.Key] = e
}

// dropTombstones forgets the removals if there are too many.
func (t *TableCopy) dropTombstones() {
	if t.tombstones <= maxTombstones {
		return
	}
	for key, e := range t.entries {
		if e.Removed {
			delete(t.entries, key)
		}
	}
	t.tombstones = 0
	t.completeFrom = t.Position().Version
}

// Unavailable records that a call to the store for the table has failed.
func (t *TableCopy) Unavailable() {
	t.available = false
}

// Since returns what has changed after the position of a follower, or the whole table if
// that can't be told. A follower that is ahead of the copy gets the copy's position.
func (t *TableCopy) Since(known Position, now clock.Instant) TableUpdate {
	end := t.Position()
	u := TableUpdate{
		Table: t.table, Version: end.Version, Timeline: end.Timeline, Age: now.Sub(t.confirmedAt), Available: t.available,
	}
	isLater := end.Timeline > known.Timeline
	u.Full = isLater || (end.Timeline == known.Timeline && known.Version < t.completeFrom)
	if !u.Full {
		u.Since = min(known.Version, end.Version)
	}
	if known.Timeline > end.Timeline || (!isLater && known.Version >= end.Version) {
		return u
	}
	for _, e := range t.entries {
		isNew := e.Version > known.Version
		if (u.Full && !e.Removed) || (!u.Full && isNew) {
			u.Entries = append(u.Entries, e)
		}
	}
	return u
}
