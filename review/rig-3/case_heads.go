package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// headClients is the number of clients at each machine that send heads without end.
	headClients = 10
	// memoryMB is memory_mb of the settings, and headEnds how often a process has to end.
	memoryMB = 414
	headEnds = 3
	// headsFor bounds the time of the case.
	headsFor = 90 * time.Second
)

// endlessHeads: clients that the operators don't control send heads without end, in short
// lines. The platform kills a process that takes more memory than its machine has.
func endlessHeads(w *world, trouble bool) (int, error) {
	book := func(r *replica, q *http.Request, _ []byte, out net.Conn) bool {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: 2\r\n\r\nok", q.Header.Get("Attempt-Id"), r.id)
		return true
	}
	if _, err := w.startReplica("i-book0", "wuno96b", 6, book); err != nil {
		return failed, err
	}
	w.writeManifest(7, []route{{Name: "r-book", Host: host, Prefix: "/puxa403/", Kind: "non_idempotent", TimeoutMS: 800, TargetMS: 300, Service: "wuno96b", Attempts: 1}}, "wuno96b")
	var gs []*gateway
	for i := range 2 {
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
	end := time.Now().Add(headsFor)
	if !trouble {
		end = time.Now().Add(headsFor / 3)
	}
	ends := make([]atomic.Int64, len(gs))
	isDone := func() bool {
		return time.Now().After(end) || ends[0].Load() >= headEnds && ends[1].Load() >= headEnds
	}
	var group sync.WaitGroup
	for i, g := range gs {
		group.Add(1)
		go func() {
			defer group.Done()
			w.enforceMemory(g, &ends[i], isDone)
		}()
		if !trouble {
			continue
		}
		for range headClients {
			group.Add(1)
			go func() {
				defer group.Done()
				for !isDone() {
					sendEndlessHead(g, isDone)
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	asked, answered := 0, 0
	for !isDone() {
		for _, g := range gs {
			asked++
			if w.askPlain(g, fmt.Sprintf("9c41d1%08x", asked)) == http.StatusOK {
				answered++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	group.Wait()
	w.note("ordinary requests: %d of %d answered with 200", answered, asked)
	w.note("processes ended for their memory: %d and %d times", ends[0].Load(), ends[1].Load())
	w.copyLogs(5)
	if ends[0].Load() >= headEnds && ends[1].Load() >= headEnds {
		w.note("Fault: two machines' processes have ended %d times each", headEnds)
		return broken, nil
	}
	w.note("no Fault")
	return held, nil
}

// enforceMemory kills and restarts a process as the platform does.
func (w *world) enforceMemory(g *gateway, ends *atomic.Int64, isDone func() bool) {
	peak := 0
	for ; !isDone(); time.Sleep(20 * time.Millisecond) {
		now := residentMB(g.command.Process.Pid)
		peak = max(peak, now)
		if now <= memoryMB || ends.Load() >= headEnds {
			continue
		}
		w.note("%s has %d MB, its machine %d: killed", g.name, now, memoryMB)
		g.signal(syscall.SIGKILL)
		<-g.ended
		if ends.Add(1); isDone() {
			break
		}
		time.Sleep(500 * time.Millisecond)
		if err := w.start(g, ""); err != nil {
			w.note("%s: %v", g.name, err)
			return
		}
	}
	w.note("%s: at most %d MB", g.name, peak)
}

// residentMB returns the memory that a process has, in MB.
func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// sendEndlessHead sends short header lines until the connection is closed.
func sendEndlessHead(g *gateway, isDone func() bool) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "GET /puxa403/2f HTTP/1.1\r\nHost: %s\r\n", host)
	lines := bytes.Repeat([]byte("a: b\r\n"), 160)
	for !isDone() {
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		if _, err := conn.Write(lines); err != nil {
			return
		}
	}
}

// askPlain sends an ordinary request over a new connection and returns the status.
func (w *world) askPlain(g *gateway, id string) int {
	conn, err := net.DialTimeout("tcp", g.front, 300*time.Millisecond)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, _ = conn.Write(requestText(http.MethodPost, "/puxa403/2f", id, 1500*time.Millisecond, "", []byte("b")))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
