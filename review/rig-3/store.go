package main

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, or its removal in a feed.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type transaction struct {
	Expect []row `json:"expect_rev"`
	Puts   []row `json:"puts"`
	Delete []row `json:"delete"`
}

// store is the platform's store: rows, conditional transactions and the feed of changes.
type store struct {
	address string

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	changes []row
	changed chan struct{}
	started time.Time
	// undos take transactions back, the oldest first; era counts the restores.
	undos []undo
	era   int
	away  bool
}

// undo holds what a transaction has replaced; rows without a version did not exist.
type undo struct {
	at     time.Time
	before []row
}

func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: ln.Addr().String(), rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now(),
	}
	server := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(ln) }()
	return s, nil
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Puts: []row{{Table: table, Key: key, Value: text}}})
}

func (s *store) apply(tx transaction) {
	u := undo{at: time.Now()}
	for _, r := range append(append([]row{}, tx.Puts...), tx.Delete...) {
		b := s.rows[r.id()]
		b.Table, b.Part, b.Key = r.Table, r.Part, r.Key
		u.before = append(u.before, b)
	}
	s.undos = append(s.undos, u)
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[r.id()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Delete {
		delete(s.rows, r.id())
		s.changes = append(s.changes, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, hasMore bool, version uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": hasMore, "ver": version, "now_ms": float64(time.Since(s.started).Microseconds()) / 1000,
	})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	if s.isAway() {
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /-/rows-tx":
		s.transact(w, r)
	case "GET /-/rows-get":
		s.get(w, r)
	case "GET /-/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, tx.Puts...), tx.Delete...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []row
	for _, e := range tx.Expect {
		if found := s.rows[e.id()]; found.Version != e.Version {
			conflicts = append(conflicts, found)
		}
	}
	if len(conflicts) > 0 {
		s.reply(w, http.StatusPreconditionFailed, conflicts, false, s.version)
		return
	}
	s.apply(tx)
	s.reply(w, http.StatusOK, nil, false, s.version)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	s.reply(w, http.StatusOK, found[:min(limit, len(found))], more, s.version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if since > s.version {
			s.reply(w, http.StatusGone, nil, false, s.version)
			s.mu.Unlock()
			return
		}
		var list []row
		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.Version > since {
				list = append(list, c)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(list) > 0 {
			s.reply(w, http.StatusOK, list, false, version)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.reply(w, http.StatusOK, nil, false, version)
			return
		}
	}
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// drill takes the store away and brings it back from a copy that is older than its absence by
// age. Versions go back and are given out again. The operator and the replicas write again
// what of theirs was lost, a time after the store is back.
func (s *store) drill(away, age, rewrite time.Duration) {
	s.mu.Lock()
	s.away = true
	copied := time.Now().Add(-age)
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := make(map[rowKey]row)
	for len(s.undos) > 0 && s.undos[len(s.undos)-1].at.After(copied) {
		u := s.undos[len(s.undos)-1]
		s.undos = s.undos[:len(s.undos)-1]
		s.version--
		for _, b := range u.before {
			if _, known := lost[b.id()]; !known && (b.Table == "op" || b.Table == "servers") {
				now := s.rows[b.id()]
				now.Table, now.Part, now.Key = b.Table, b.Part, b.Key
				lost[b.id()] = now
			}
		}
		for _, b := range u.before {
			delete(s.rows, b.id())
			if b.Version > 0 {
				s.rows[b.id()] = b
			}
		}
	}
	s.changes = slices.DeleteFunc(s.changes, func(c row) bool { return c.Version > s.version })
	s.era++
	s.away = false
	close(s.changed)
	s.changed = make(chan struct{})
	time.AfterFunc(rewrite, func() { s.rewrite(lost) })
}

func (s *store) rewrite(lost map[rowKey]row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range lost {
		if r.Version > 0 {
			s.apply(transaction{Puts: []row{{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value}}})
		} else {
			s.apply(transaction{Delete: []row{r}})
		}
	}
}

// remove removes a row as a replica does that leaves.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Delete: []row{{Table: table, Key: key}}})
}
