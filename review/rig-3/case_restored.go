package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	droppedKey = "n2ctnfzs989anu6wsjnb"
	// awayFor is how long the store is away, copyAge how old its copy is then, and rewriteIn
	// the time after which the operator has written again.
	awayFor   = 2500 * time.Millisecond
	copyAge   = 5 * time.Second
	rewriteIn = 7 * time.Second
	// configMS and contactMS are the bounds of the settings.
	configMS  = 2 * time.Second
	contactMS = 3 * time.Second
)

// restored: a process is killed and started again while the store is away in a drill. The
// copy from which it comes back is older than the manifest that has dropped a key.
func restored(w *world, trouble bool) (int, error) {
	book := func(r *replica, q *http.Request, _ []byte, out net.Conn) bool {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: 2\r\n\r\nok", q.Header.Get("Attempt-Id"), r.id)
		return true
	}
	app, err := w.startReplica("i-book0", "wuno96b", 6, book)
	if err != nil {
		return failed, err
	}
	routes := []route{{Name: "r-book", Host: host, Prefix: "/puxa403/", Kind: "non_idempotent", TimeoutMS: 800, TargetMS: 300, Service: "wuno96b", Attempts: 1}}
	w.writeManifestFor([]string{credential, droppedKey}, 7, routes, "wuno96b")
	var gs []*gateway
	for i := range 4 {
		g, err := w.addGateway(fmt.Sprintf("edge-regina-hall-%d", i+1), "")
		if err != nil {
			return failed, err
		}
		if err := w.start(g, ""); err != nil {
			return failed, err
		}
		gs = append(gs, g)
	}
	for _, g := range gs {
		if err := w.awaitReady(g); err != nil {
			return failed, err
		}
	}
	time.Sleep(6 * time.Second)
	w.writeManifestFor([]string{credential}, 8, routes, "wuno96b")
	acked := time.Now()
	w.note("the operator has dropped a key: version 8 acknowledged")
	time.Sleep(configMS + time.Second)
	for i, g := range gs {
		w.note("%s: the dropped key gets %d", g.name, w.ask(g, droppedKey, fmt.Sprintf("9c41d00000%04x", i)))
	}
	last := gs[3]
	last.kill()
	w.note("%s killed", last.name)
	if trouble {
		go func() {
			w.note("drill: the store is away for %v and comes back from a copy %v old", awayFor, copyAge)
			w.store.drill(awayFor, copyAge, rewriteIn)
			w.note("the store is back, era %d; the operator writes version 8 again in %v", w.store.era, rewriteIn)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if err := w.start(last, ""); err != nil {
		return failed, err
	}
	begun := time.Now()
	time.Sleep(awayFor - 300*time.Millisecond + contactMS + 300*time.Millisecond)
	w.note("%s runs for %.1f s, the store is sound for over contact_ms, version 8 was acknowledged %.1f s ago", last.name, time.Since(begun).Seconds(), time.Since(acked).Seconds())
	ran, asked := 0, 0
	for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for i, g := range gs {
			id := fmt.Sprintf("9c41d1%02x%08x", i, asked)
			status := w.ask(g, droppedKey, id)
			asked++
			if n := app.runs(id); n > 0 {
				ran++
				w.note("%s: a request with the dropped key got %d and has run", g.name, status)
			}
		}
	}
	w.note("%d requests with the dropped key were sent, %d have run", asked, ran)
	w.note("a request with the other key gets %d", w.ask(last, credential, "9c41d2ffffffff"))
	w.copyLogs(14)
	if ran > 0 {
		w.note("CONFIG is broken")
		return broken, nil
	}
	w.note("CONFIG holds")
	return held, nil
}

// ask sends a request with a key over a new connection and returns the status; 0 without one.
func (w *world) ask(g *gateway, key, id string) int {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, _ = conn.Write(requestWith(key, http.MethodPost, "/puxa403/2f", id, 1500*time.Millisecond, "", []byte("b")))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
