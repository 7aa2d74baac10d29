package history

import (
	"time"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

const (
	leastLatency = time.Millisecond
	mostLatency  = 60 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	mostDelay    = 8 * time.Second
	outageEvery  = time.Minute
)

// Table is a table service with faults.
type Table struct {
	// Applied is called after each change of the rows, if it is set.
	Applied func()

	world   *World
	faults  Faults
	rows    map[row.Key]row.Row
	downEnd clock.Instant

	timeline uint64      // 0 if the table is never restored
	copies   []tableCopy // from old to new
	guarded  bool        // a transaction requested in this timeline took effect
}

// NewTable makes an empty table.
func NewTable(w *World, faults Faults) *Table {
	t := &Table{world: w, faults: faults, rows: make(map[row.Key]row.Row)}
	if faults.Outage > 0 {
		t.scheduleOutage()
	}
	if faults.Restores.Every > 0 {
		t.timeline = 1
		t.scheduleRestore()
	}
	return t
}

// Row returns a row as it is, for checks.
func (t *Table) Row(key row.Key) row.Row {
	r := t.rows[key]
	r.Key = key
	r.Timeline = t.Timeline()
	return r
}

// Write tries a transaction, on the timeline that the node has last read, and hands the
// result to done.
func (t *Table) Write(n *Node, tx row.Transaction, done func(error)) {
	latency := t.world.Between(leastLatency, mostLatency)
	guard := n.guard()
	requested := n.timeline
	answer := func(after time.Duration, err error) {
		t.world.After(after, guard(func() { done(err) }))
	}
	unknown := &row.UnknownError{Err: &FaultError{}}
	switch fault := t.draw(n); {
	case fault == unavailable:
		answer(latency, &row.UnavailableError{Err: &FaultError{}})
	case fault == lost:
		t.world.After(latency, func() { _ = t.apply(tx, requested) })
		answer(callTimeout, unknown)
	case fault == dropped:
		answer(callTimeout, unknown)
	case fault == delayed:
		t.world.After(t.world.Between(callTimeout, mostDelay), func() { _ = t.apply(tx, requested) })
		answer(callTimeout, unknown)
	default:
		t.world.After(latency, func() {
			back := t.world.Between(leastLatency, mostLatency)
			answer(back, t.outcome(t.apply(tx, requested), requested))
		})
		if fault == doubled {
			t.world.After(t.world.Between(latency, mostDelay), func() { _ = t.apply(tx, requested) })
		}
	}
}

// Read reads a row and hands the result to done.
func (t *Table) Read(n *Node, key row.Key, done func(row.Row, error)) {
	latency := t.world.Between(leastLatency, mostLatency)
	guard := n.guard()
	if t.draw(n) == unavailable {
		t.world.After(latency, guard(func() {
			done(row.Row{}, &row.UnavailableError{Err: &FaultError{}})
		}))
		return
	}
	t.world.After(latency, func() {
		found := t.Row(key)
		t.world.After(t.world.Between(leastLatency, mostLatency), guard(func() {
			n.timeline = found.Timeline
			done(found, nil)
		}))
	})
}

// Delete removes a row whatever its version, which the table service of the
// platform does not offer. Only switches use it.
func (t *Table) Delete(key row.Key) {
	delete(t.rows, key)
}

func (t *Table) apply(tx row.Transaction, requested uint64) error {
	if t.isOutdated(requested) {
		return &row.ConflictError{Key: tx.Changes[0].Key}
	}
	for _, c := range tx.Changes {
		if t.rows[c.Key].Version != c.Expect {
			return &row.ConflictError{Key: c.Key}
		}
	}
	for _, c := range tx.Changes {
		t.rows[c.Key] = row.Row{Key: c.Key, Version: c.Expect + 1, Value: c.Value}
	}
	t.guarded = t.guarded || requested == t.timeline
	t.keepCopy()
	if t.Applied != nil {
		t.Applied()
	}
	return nil
}

func (t *Table) draw(n *Node) fault {
	if n.IsSeparate() || t.downEnd.After(t.world.Now()) {
		return unavailable
	}
	at := t.world.Random.IntN(1000)
	for _, share := range []struct {
		perMille int
		fault    fault
	}{
		{t.faults.Unavailable, unavailable},
		{t.faults.Lost, lost},
		{t.faults.Dropped, dropped},
		{t.faults.Delayed, delayed},
		{t.faults.Doubled, doubled},
	} {
		if at < share.perMille {
			return share.fault
		}
		at -= share.perMille
	}
	return none
}

func (t *Table) scheduleOutage() {
	t.world.After(t.world.Between(0, 2*outageEvery), func() {
		t.downEnd = t.world.Now().Add(t.world.Between(0, t.faults.Outage))
		t.scheduleOutage()
	})
}
