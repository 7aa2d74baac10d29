package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	maxFDs     = 500
	openCrowd  = 560
	requesters = 8
	contact    = 3 * time.Second
)

// openHeads: callers begin a head, don't end it and stay open, more than the process has
// descriptors. The machine says that it is ready; requesters open new connections.
func openHeads(w *world) bool {
	w.replica("i-app-1", "app", 6, func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprint(rw, "ok")
	})
	w.manifest(7, nil, newRoute("r1", "/puxa403/", "idempotent", "app", 1500, 300))
	g := w.gateway("edge-1", memoryMB, maxFDs)
	g.awaitReady()
	stop := make(chan struct{})
	defer close(stop)
	var readyUntil, servedAt atomic.Int64
	go probeReady(w, g, stop, &readyUntil)
	for i := range requesters {
		go newConnections(w, g, i, stop, &servedAt)
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.note("%d callers begin a head and stay open; the process may have %d descriptors", openCrowd, maxFDs)
		for range openCrowd {
			go openHead(g, stop)
		}
	}
	// header_timeout_ms is 3,000: by then the machine may have closed all of them.
	time.Sleep(5 * time.Second)
	longest := time.Duration(0)
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		gap := min(time.Since(time.UnixMicro(servedAt.Load())), time.Since(w.start))
		isReady := time.Since(time.UnixMicro(readyUntil.Load())) < 1500*time.Millisecond
		if isReady && gap > longest {
			longest = gap
		}
	}
	w.note("ready, and no new connection was taken: %.1f s at the longest; %d requesters tried all the while", longest.Seconds(), requesters)
	return longest < contact
}

// probeReady asks for readiness once a second over one connection, as the platform does.
func probeReady(w *world, g *gateway, stop <-chan struct{}, readyUntil *atomic.Int64) {
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		res, err := client.Get("http://" + g.ready + "/-/ready")
		if err != nil {
			w.note("ready: %v", err)
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		w.note("ready: %d", res.StatusCode)
		if res.StatusCode == http.StatusOK {
			readyUntil.Store(time.Now().UnixMicro())
		}
	}
}

// newConnections sends a request over a new connection twice a second.
func newConnections(w *world, g *gateway, n int, stop <-chan struct{}, servedAt *atomic.Int64) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		id := newID()
		status, err := ordinaryCall(client, g, id)
		if status != 0 {
			// Any answer shows that the connection was taken.
			servedAt.Store(time.Now().UnixMicro())
		}
		w.note("requester %d: request %s: status %d, %v", n, id, status, err)
	}
}

func openHead(g *gateway, stop <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /puxa403/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", host, newID())
	<-stop
}
