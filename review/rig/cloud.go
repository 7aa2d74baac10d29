package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// cloud is a stand-in of the platform's API for duties. It checks the fencing
// tokens of each subject.
type cloud struct {
	mu       sync.Mutex
	record   *record
	listener net.Listener
	highest  map[string]uint64
}

func newCloud(address string, r *record) (*cloud, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &cloud{record: r, listener: ln, highest: make(map[string]uint64)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", c.serve)
	mux.HandleFunc("POST /scale", c.serve)
	go func() { _ = http.Serve(ln, mux) }()
	return c, nil
}

func (c *cloud) address() string { return c.listener.Addr().String() }

func (c *cloud) serve(w http.ResponseWriter, r *http.Request) {
	var body map[string]any
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	subject := r.URL.Path
	if service, ok := body["service"].(string); ok {
		zone, _ := body["zone"].(string)
		subject += " " + service + " " + zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < c.highest[subject] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest[subject] = fence
	w.WriteHeader(http.StatusOK)
}
