package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// drainMS is drain_ms.
	drainMS = 2 * time.Second
	// servesOn is how long a replica serves on after its entry was removed.
	servesOn = 15 * time.Second
)

// left: a replica leaves by the removal of its entry and serves on for some seconds. A process
// is killed and started again while the store is away in a drill, whose copy has the entry.
func left(w *world, trouble bool) (int, error) {
	book := func(r *replica, q *http.Request, _ []byte, out net.Conn) bool {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: 2\r\n\r\nok", q.Header.Get("Attempt-Id"), r.id)
		return true
	}
	if _, err := w.startReplica("i-stays", "wuno96b", 6, book); err != nil {
		return failed, err
	}
	leaver, err := w.startReplica("i-leaves", "wuno96b", 6, book)
	if err != nil {
		return failed, err
	}
	w.writeManifest(7, []route{{Name: "r-book", Host: host, Prefix: "/puxa403/", Kind: "non_idempotent", TimeoutMS: 800, TargetMS: 300, Service: "wuno96b", Attempts: 1}}, "wuno96b")
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
	leaver.silent.Store(true)
	w.store.remove("servers", leaver.id)
	acked := time.Now()
	w.note("the entry of %s is removed, acknowledged by the store; it serves on for %v", leaver.id, servesOn)
	time.Sleep(drainMS + time.Second)
	last := gs[3]
	last.kill()
	w.note("%s killed", last.name)
	if trouble {
		go func() {
			w.note("drill: the store is away for %v and comes back from a copy %v old", awayFor, copyAge)
			w.store.drill(awayFor, copyAge, rewriteIn)
			w.note("the store is back, era %d; the removal is written again in %v", w.store.era, rewriteIn)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	if err := w.start(last, ""); err != nil {
		return failed, err
	}
	begun := time.Now()
	time.Sleep(awayFor - 300*time.Millisecond + contactMS + 300*time.Millisecond)
	w.note("%s runs for %.1f s, the store is sound for over contact_ms, the removal was acknowledged %.1f s ago", last.name, time.Since(begun).Seconds(), time.Since(acked).Seconds())
	late, asked := make(map[string]int), 0
	for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for i, g := range gs {
			id := fmt.Sprintf("9c41d1%02x%08x", i, asked)
			_ = w.ask(g, credential, id)
			asked++
			if leaver.runs(id) > 0 {
				late[g.name]++
			}
		}
	}
	w.note("%d requests were sent; at %s, which has left, ran by machine: %v", asked, leaver.id, late)
	w.copyLogs(6)
	if len(late) > 0 {
		w.note("DRAIN is broken")
		return broken, nil
	}
	w.note("DRAIN holds")
	return held, nil
}
