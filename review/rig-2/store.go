package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, or in a feed the change of a row.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowName struct{ table, part, key string }

func (r row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type transaction struct {
	Expect []row `json:"expect_rev"`
	Puts   []row `json:"puts"`
	Delete []row `json:"delete"`
}

// store is a stand-in of the platform's metadata store: linearizable, without faults.
type store struct {
	address string
	start   time.Time
	mu      sync.Mutex
	rows    map[rowName]row
	changes []row
	version uint64
	changed chan struct{} // closed at the next change
}

func newStore() *store {
	s := &store{start: time.Now(), rows: make(map[rowName]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	s.address = serve(mux)
	return s
}

// put writes a row without a condition, as the operator and the replicas do.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Puts: []row{{Table: table, Key: key, Value: text}}})
}

func (s *store) apply(tx transaction) {
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[r.name()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Delete {
		delete(s.rows, r.name())
		s.changes = append(s.changes, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply answers a call; the store is locked.
func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": s.version, "now_ms": time.Since(s.start).Milliseconds(),
	})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range tx.Expect {
		if s.rows[want.name()].Version != want.Version {
			s.reply(w, http.StatusPreconditionFailed, []row{s.rows[want.name()]}, false)
			return
		}
	}
	for _, list := range [][]row{tx.Puts, tx.Delete} {
		for _, p := range list {
			if p.Table == "op" || p.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	s.apply(tx)
	s.reply(w, http.StatusOK, nil, false)
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
	for _, c := range s.rows {
		if c.Table == q.Get("table") && c.Part == q.Get("part") && c.Key >= q.Get("from") && (q.Get("to") == "" || c.Key < q.Get("to")) {
			found = append(found, c)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.reply(w, http.StatusOK, found[:min(limit, len(found))], len(found) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.Version > since {
				found = append(found, c)
			}
		}
		if len(found) > 0 {
			s.reply(w, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}
