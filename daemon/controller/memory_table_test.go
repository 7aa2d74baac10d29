package controller

import (
	"io"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

// fault is the failure of one call.
type fault int

const (
	noFault fault = iota
	// lostAfter executes the call and loses the response.
	lostAfter
	// lostBefore loses the call before it is executed.
	lostBefore
	// refused rejects the call.
	refused
)

// memoryTable is an in-memory table service that several controllers can share.
// The token in its ring serves as a lock.
type memoryTable struct {
	token  *ring.Ring[struct{}]
	rows   map[row.Key]row.Row
	faults []fault
	// faultFilter selects the writes that the faults apply to; nil selects all.
	faultFilter func(row.Transaction) bool
	// reads and writes count the rows that were read and written.
	reads, writes int
}

func newMemoryTable() *memoryTable {
	t := &memoryTable{token: ring.New[struct{}]("table", 1), rows: make(map[row.Key]row.Row)}
	_ = t.token.Offer(struct{}{})
	return t
}

func (t *memoryTable) locked(act func()) {
	_, _ = t.token.Take()
	defer func() { _ = t.token.Offer(struct{}{}) }()
	act()
}

// failNext sets the faults of the next writes.
func (t *memoryTable) failNext(faults ...fault) {
	t.locked(func() { t.faults = faults })
}

func (t *memoryTable) Read(key row.Key, done func(row.Row, error)) {
	var r row.Row
	t.locked(func() {
		t.reads++
		r = t.rows[key]
	})
	r.Key = key
	done(r, nil)
}

func (t *memoryTable) List(partition, prefix string, done func([]row.Row, error)) {
	var rows []row.Row
	t.locked(func() {
		for k, r := range t.rows {
			if k.Partition == partition && strings.HasPrefix(k.Sort, prefix) {
				t.reads++
				rows = append(rows, r)
			}
		}
	})
	done(rows, nil)
}

func (t *memoryTable) Write(tx row.Transaction, done func(error)) {
	var err error
	t.locked(func() { err = t.apply(tx) })
	done(err)
}

func (t *memoryTable) apply(tx row.Transaction) error {
	f := noFault
	if len(t.faults) > 0 && (t.faultFilter == nil || t.faultFilter(tx)) {
		f, t.faults = t.faults[0], t.faults[1:]
	}
	switch f {
	case refused:
		return &row.UnavailableError{Err: io.ErrUnexpectedEOF}
	case lostBefore:
		return &row.UnknownError{Err: io.ErrUnexpectedEOF}
	}
	for _, c := range tx.Changes {
		if t.rows[c.Key].Version != c.Expect {
			return &row.ConflictError{Key: c.Key}
		}
	}
	for _, c := range tx.Changes {
		switch {
		case c.Delete:
			delete(t.rows, c.Key)
		case !c.Check:
			t.writes++
			t.rows[c.Key] = row.Row{Key: c.Key, Version: c.Expect + 1, Value: c.Value}
		}
	}
	if f == lostAfter {
		return &row.UnknownError{Err: io.ErrUnexpectedEOF}
	}
	return nil
}

// row returns the current content of a row.
func (t *memoryTable) row(key row.Key) (r row.Row) {
	t.locked(func() { r = t.rows[key] })
	return r
}
