package rowstore

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// pageRows is the number of rows in one answer.
const pageRows = 500

// Store is the store. Its methods but Open, Run, Close, Post and Address belong
// to its duty: call them through Post.
type Store struct {
	*host.Host
	rows    map[name]Row
	version uint64
	changes []Row
	// oldest is the oldest version from which a feed may go on.
	oldest  uint64
	waiters []*waiter
}

// New makes an empty store; Open starts it.
func New(address string) *Store {
	return &Store{Host: host.New(host.Config{Name: "rowstore", Address: address}), rows: make(map[name]Row)}
}

// Open listens. Run is the duty.
func (s *Store) Open() error { return s.Host.Open(&behavior{store: s}) }

// Put writes a row as the operator or an upstream does.
func (s *Store) Put(table, key string, value []byte) {
	s.apply(transaction{Puts: []Row{{Table: table, Key: key, Value: value}}})
}

// Delete removes a row as an upstream that leaves does.
func (s *Store) Delete(table, key string) {
	s.apply(transaction{Delete: []Row{{Table: table, Key: key}}})
}

// Forget drops the history: feeds that are behind have to read all rows.
func (s *Store) Forget() {
	s.changes = nil
	s.oldest = s.version + 1
	for _, w := range s.waiters {
		s.end(w, func() { w.call.Fail(http.StatusGone, host.FailureNotFound, "history is forgotten") })
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

func (s *Store) apply(tx transaction) {
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[r.name()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Delete {
		delete(s.rows, r.name())
		s.changes = append(s.changes, Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true})
	}
	s.wake()
}

func (s *Store) wake() {
	left := s.waiters[:0]
	for _, w := range s.waiters {
		if rows := s.after(w.table, w.since); len(rows) > 0 {
			s.end(w, func() { w.call.ReplyJSON(http.StatusOK, s.page(rows)) })
		}
		if !w.ended {
			left = append(left, w)
		}
	}
	s.waiters = left
}

func (s *Store) end(w *waiter, answer func()) {
	if !w.ended {
		w.ended = true
		answer()
	}
}

// after returns the changes of a table after a version.
func (s *Store) after(table string, since uint64) []Row {
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

func (s *Store) transact(c *host.Call) {
	var tx transaction
	if !c.Decode(&tx) {
		return
	}
	var conflicts []Row
	for _, want := range tx.Expect {
		if found := s.rows[want.name()]; found.Version != want.Version {
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

func (s *Store) get(c *host.Call) {
	limit := pageRows
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

func (s *Store) feed(c *host.Call) {
	since, ok := c.QueryNumber("since_rev")
	if !ok {
		return
	}
	wait, ok := c.QueryNumber("wait_ms")
	if !ok {
		return
	}
	if since+1 < s.oldest {
		c.Fail(http.StatusGone, host.FailureNotFound, "history is forgotten")
		return
	}
	table := c.Query.Get("table")
	if rows := s.after(table, since); len(rows) > 0 {
		c.ReplyJSON(http.StatusOK, s.page(rows))
		return
	}
	w := &waiter{call: c, table: table, since: since}
	s.waiters = append(s.waiters, w)
	s.After(time.Duration(wait)*time.Millisecond, func() {
		s.end(w, func() { c.ReplyJSON(http.StatusOK, s.page(nil)) })
	})
}
