package main

import (
	"encoding/json"
	"net"
	"net/http"
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
}

func startStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: ln.Addr().String(), rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now(),
	}
	go func() { _ = http.Serve(ln, s) }()
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
	w.Header().Set("Store-Era", "0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": hasMore, "ver": version, "now_ms": float64(time.Since(s.started).Microseconds()) / 1000,
	})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
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
