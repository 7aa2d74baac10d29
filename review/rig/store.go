package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowName struct{ table, part, key string }

// store is a stand-in of the platform's store: rows, atomic transactions under
// conditions, and feeds. It is always up and sound.
type store struct {
	mu       sync.Mutex
	rows     map[rowName]row
	version  uint64
	changed  chan struct{} // closed at each change
	start    time.Time
	listener net.Listener
}

func newStore(address string) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{rows: make(map[rowName]row), changed: make(chan struct{}), start: time.Now(), listener: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTx)
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row as the operator or a replica does, and returns when the store
// has acknowledged it.
func (s *store) put(table, key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are made by the cases
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]row{{Table: table, Key: key, Value: text}}, nil)
	return time.Now()
}

// remove deletes a row, and returns when the store has acknowledged that.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(nil, []row{{Table: table, Key: key}})
	return time.Now()
}

// change applies a transaction. The caller holds the lock.
func (s *store) change(puts, deletes []row) {
	s.version++
	for _, r := range puts {
		r.Version, r.Removed = s.version, false
		s.rows[rowName{r.Table, r.Part, r.Key}] = r
	}
	for _, r := range deletes {
		s.rows[rowName{r.Table, r.Part, r.Key}] = row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type page struct {
	Rows    []row   `json:"rows"`
	Version uint64  `json:"ver"`
	NowMS   float64 `json:"now_ms"`
	HasMore bool    `json:"has_more"`
}

// page returns a page with the present version. The caller holds the lock.
func (s *store) page(rows []row) page {
	if rows == nil {
		rows = []row{}
	}
	slices.SortFunc(rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return page{Rows: rows, Version: s.version, NowMS: float64(time.Since(s.start).Microseconds()) / 1000}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []row `json:"expect_rev"`
		Puts   []row `json:"puts"`
		Delete []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expect {
		present := s.rows[rowName{e.Table, e.Part, e.Key}]
		if present.Removed {
			present.Version = 0
		}
		if present.Version != e.Version {
			reply(w, http.StatusPreconditionFailed, s.page(nil))
			return
		}
	}
	s.change(tx.Puts, tx.Delete)
	reply(w, http.StatusOK, s.page(nil))
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for name, present := range s.rows {
		isIn := name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from")
		if isIn && !present.Removed {
			found = append(found, present)
		}
	}
	p := s.page(found)
	p.HasMore = len(p.Rows) > limit
	p.Rows = p.Rows[:min(limit, len(p.Rows))]
	reply(w, http.StatusOK, p)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for isLast := false; ; {
		s.mu.Lock()
		var found []row
		for name, present := range s.rows {
			if name.table == q.Get("table") && present.Version > since {
				found = append(found, present)
			}
		}
		p, changed := s.page(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 || isLast {
			slices.SortFunc(p.Rows, func(a, b row) int { return int(int64(a.Version) - int64(b.Version)) })
			reply(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			isLast = true
		case <-r.Context().Done():
			return
		}
	}
}

// reply sends a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are made by this program
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
