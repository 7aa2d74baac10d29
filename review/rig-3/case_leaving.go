package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// churnRounds is the number of bursts of requesters, one every roundTime.
	churnRounds = 95
	roundTime   = time.Second
	leaveAfter  = 250 * time.Millisecond
	// chatters and bookers are the requesters of one burst. With the disruption the chatters,
	// 0.3 of all, leave leaveAfter after they have sent their requests: half the objective of
	// the class volunteer-chat. The bookers of a burst come then.
	chatters = 90
	bookers  = 210
	// eventInterval is the time of four steps of an engine.
	eventInterval = 15200 * time.Microsecond
	// maxLost is how often LOST allows it.
	maxLost = 3
)

type tally struct {
	answered, lost, failed, left atomic.Int64
}

// leaving: bursts of requesters. Some read streams and leave before their time budget;
// the others use kept connections for two requests that may run once.
func leaving(w *world, trouble bool) (int, error) {
	chat := func(r *replica, q *http.Request, _ []byte, out net.Conn) bool {
		id := q.Header.Get("Attempt-Id")
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id)
		for n := 1; n <= 70; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 40))
			if _, err := fmt.Fprintf(out, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(eventInterval)
		}
		fmt.Fprint(out, "0\r\n\r\n")
		return true
	}
	book := func(r *replica, q *http.Request, _ []byte, out net.Conn) bool {
		time.Sleep(10 * time.Millisecond)
		body := strings.Repeat("b", 800)
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", q.Header.Get("Attempt-Id"), r.id, len(body), body)
		return true
	}
	var apps []*replica
	for i := range 8 {
		if _, err := w.startReplica(fmt.Sprintf("i-chat%d", i), "huvo11a", 64, chat); err != nil {
			return failed, err
		}
		b, err := w.startReplica(fmt.Sprintf("i-book%d", i), "wuno96b", 64, book)
		if err != nil {
			return failed, err
		}
		apps = append(apps, b)
	}
	runs := func(id string) (n int) {
		for _, r := range apps {
			n += r.runs(id)
		}
		return n
	}
	w.writeManifest(7, []route{
		{Name: "r-chat", Host: host, Prefix: "/demi832/", Kind: "streaming", TimeoutMS: 15000, TargetMS: 500, Service: "huvo11a", Attempts: 1, GapTargetMS: 600},
		{Name: "r-book", Host: host, Prefix: "/puxa403/", Kind: "non_idempotent", TimeoutMS: 1500, TargetMS: 300, Service: "wuno96b", Attempts: 1},
	}, "huvo11a", "wuno96b")
	g, err := w.addGateway("edge-regina-hall-1", "")
	if err != nil {
		return failed, err
	}
	if err := w.startNeighbour(); err != nil {
		return failed, err
	}
	if err := w.start(g, ""); err != nil {
		return failed, err
	}
	if err := w.awaitReady(g); err != nil {
		return failed, err
	}
	var t tally
	var group sync.WaitGroup
	begun := time.Now()
	for round := range churnRounds {
		time.Sleep(time.Until(begun.Add(time.Duration(round) * roundTime)))
		for i := range chatters {
			group.Add(1)
			go func() {
				defer group.Done()
				w.chatter(g, fmt.Sprintf("9c42%06x%06x", round, i), trouble, &t)
			}()
		}
		time.Sleep(leaveAfter)
		for i := range bookers {
			group.Add(1)
			go func() {
				defer group.Done()
				w.booker(g, fmt.Sprintf("9c41%06x%04x", round, i), runs, &t)
			}()
		}
	}
	group.Wait()
	w.note("requests that may run once: %d answered, %d failed otherwise, %d run and their kept connection closed without an answer", t.answered.Load(), t.failed.Load(), t.lost.Load())
	w.note("streams left by their requesters: %d", t.left.Load())
	if t.lost.Load() > maxLost {
		w.note("LOST is broken: more than three times")
		return broken, nil
	}
	w.note("LOST holds")
	return held, nil
}

// chatter sends a stream and leaves it after half its objective.
func (w *world) chatter(g *gateway, id string, leaves bool, t *tally) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(requestText(http.MethodPost, "/demi832/2f", id, 15*time.Second, "", []byte("prompt")))
	if leaves {
		time.Sleep(leaveAfter)
		t.left.Add(1)
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
	}
}

// booker sends two requests over one kept connection.
func (w *world) booker(g *gateway, id string, runs func(string) int, t *tally) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		t.failed.Add(1)
		return
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for k := range 2 {
		id := fmt.Sprintf("%s%02x", id, k)
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, _ = conn.Write(requestText(http.MethodPost, "/puxa403/2f", id, 1500*time.Millisecond, "", []byte("booking")))
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			if n := runs(id); n > 0 {
				t.lost.Add(1)
				w.note("%s, request %d of its connection: ran %d times, the connection ended: %v", id, k+1, n, err)
			} else {
				t.failed.Add(1)
				w.note("%s, request %d of its connection: not run, the connection ended: %v", id, k+1, err)
			}
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if res.StatusCode == http.StatusOK {
			t.answered.Add(1)
		} else {
			t.failed.Add(1)
		}
	}
}
