package rowstore

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// defaultPageRows is the largest number of rows in a response if the request sets
// no limit.
const defaultPageRows = 500

// Store is a row store: an HTTP server and the one thread that serves its calls.
// All fields belong to that thread. Other threads may only call Open, Run, Close,
// Post and Address; they reach the other methods through Post.
type Store struct {
	*host.Host
	rows map[rowKey]Row
	// version is the number of transactions that were applied.
	version uint64
	// changes is the history, oldest first.
	changes []Row
	// oldestVersion is the oldest version that is still in the history.
	oldestVersion uint64
	waiters       []*feedRequest
	// undos take the transactions back, oldest first, and era counts restores.
	undos []undo
	era   uint64
	// tellsEra is whether answers name the era.
	tellsEra bool
}

// New returns an empty store that is not listening yet; see Open.
func New(address string) *Store {
	return &Store{Host: host.New(host.Config{Name: "rowstore", Address: address}), rows: make(map[rowKey]Row)}
}

// Open starts to listen. Calls are served once Run is called.
func (s *Store) Open() error { return s.Host.Open(&handler{store: s}) }

// Put writes a row without a condition, as an operator or an upstream does.
func (s *Store) Put(table, key string, value []byte) {
	s.apply(transaction{Puts: []Row{{Table: table, Key: key, Value: value}}})
}

// Delete deletes a row, as an upstream that shuts down does.
func (s *Store) Delete(table, key string) {
	s.apply(transaction{Delete: []Row{{Table: table, Key: key}}})
}

// TruncateHistory drops the history. Waiting feeds, and those that continue from
// an older version, get status 410 and have to read all rows again.
func (s *Store) TruncateHistory() {
	s.changes = nil
	s.oldestVersion = s.version + 1
	for _, w := range s.waiters {
		s.complete(w, func() { s.failGone(w.call) })
	}
	s.waiters = nil
}

// Rows returns the rows of a table in the order of their keys.
func (s *Store) Rows(table string) []Row {
	var list []Row
	for _, r := range s.rows {
		if r.Table == table {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// apply applies a transaction under a new version, without checking its
// conditions, and answers the feeds that wait for it.
func (s *Store) apply(tx transaction) {
	s.remember(tx)
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[r.rowKey()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Delete {
		delete(s.rows, r.rowKey())
		s.changes = append(s.changes, Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true})
	}
	s.notifyWaiters()
}

// notifyWaiters answers the waiting feeds whose table has changed, and drops those
// that have timed out.
func (s *Store) notifyWaiters() {
	left := s.waiters[:0]
	for _, w := range s.waiters {
		if rows := s.changesAfter(w.table, w.since); len(rows) > 0 {
			s.complete(w, func() { w.call.ReplyJSON(http.StatusOK, s.page(rows)) })
		}
		if !w.ended {
			left = append(left, w)
		}
	}
	s.waiters = left
}

// complete answers a waiting feed unless it has already been answered.
func (s *Store) complete(w *feedRequest, answer func()) {
	if !w.ended {
		w.ended = true
		answer()
	}
}

// changesAfter returns the changes of a table after a version, oldest first.
func (s *Store) changesAfter(table string, since uint64) []Row {
	var list []Row
	for _, r := range s.changes {
		if r.Table == table && r.Version > since {
			list = append(list, r)
		}
	}
	return list
}

func (s *Store) page(rows []Row) page {
	return page{Rows: rows, Version: s.version, NowMS: float64(s.Now()) / float64(time.Millisecond)}
}

// transact serves a transaction. If a condition fails, it replies 412 with the
// stored versions of the rows that conflict.
func (s *Store) transact(c *host.Call) {
	var tx transaction
	if !c.Decode(&tx) {
		return
	}
	var conflicts []Row
	for _, want := range tx.Expect {
		if found := s.rows[want.rowKey()]; found.Version != want.Version {
			conflicts = append(conflicts, found)
		}
	}
	if len(conflicts) > 0 {
		c.ReplyJSON(http.StatusPreconditionFailed, s.page(conflicts))
		return
	}
	s.apply(tx)
	c.ReplyJSON(http.StatusOK, s.page(nil))
}

// get serves a read of the rows of a part of a table, from a key on.
func (s *Store) get(c *host.Call) {
	limit := defaultPageRows
	if n, err := strconv.Atoi(c.Query.Get("limit")); err == nil {
		limit = n
	}
	var found []Row
	for _, r := range s.Rows(c.Query.Get("table")) {
		if r.Part == c.Query.Get("part") && r.Key >= c.Query.Get("from") {
			found = append(found, r)
		}
	}
	p := s.page(found[:min(limit, len(found))])
	p.HasMore = len(found) > limit
	c.ReplyJSON(http.StatusOK, p)
}

// feed serves the changes of a table after a version. If there are none, it waits
// for some until the time in the request has passed, and then replies with no rows.
func (s *Store) feed(c *host.Call) {
	since, ok := c.QueryNumber("since_rev")
	if !ok {
		return
	}
	wait, ok := c.QueryNumber("wait_ms")
	if !ok {
		return
	}
	if since+1 < s.oldestVersion || since > s.version {
		s.failGone(c)
		return
	}
	table := c.Query.Get("table")
	if rows := s.changesAfter(table, since); len(rows) > 0 {
		c.ReplyJSON(http.StatusOK, s.page(rows))
		return
	}
	w := &feedRequest{call: c, table: table, since: since}
	s.waiters = append(s.waiters, w)
	s.After(time.Duration(wait)*time.Millisecond, func() {
		s.complete(w, func() { c.ReplyJSON(http.StatusOK, s.page(nil)) })
	})
}
