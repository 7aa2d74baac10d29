package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryMB       = 414     // of a machine of remnant-desk
	crowd          = 160     // connections of the crowd at one machine
	bodyBytes      = 4194304 // max_body_bytes
	chunkBytes     = 64 << 10
	endsPerMachine = 3
	holdTime       = 8 * time.Second
)

// partialBodies: callers whose chunked bodies, within the manifest's limit, stop just
// short of their end and stay open. The stand-in of the platform ends a process that
// exceeds its memory, as DEPLOY.md says, and starts it again.
func partialBodies(w *world) bool {
	var runs atomic.Int64
	w.replica("i-app-1", "app", 6, func(rw http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		time.Sleep(15 * time.Millisecond)
		fmt.Fprint(rw, "ok")
	})
	w.manifest(7, nil, newRoute("r1", "/puxa403/", "idempotent", "app", 1500, 300))
	machines := []*gateway{w.gateway("edge-1", memoryMB, 0), w.gateway("edge-2", memoryMB, 0)}
	for _, g := range machines {
		g.awaitReady()
	}
	stop := make(chan struct{})
	var answered, unanswered atomic.Int64
	for _, g := range machines {
		go ordinaryCalls(w, g, stop, &answered, &unanswered)
	}
	time.Sleep(4 * time.Second)
	ends := make([]int, len(machines))
	var group sync.WaitGroup
	for i, g := range machines {
		group.Add(1)
		go func() {
			defer group.Done()
			ends[i] = crowdRounds(w, g)
		}()
	}
	group.Wait()
	close(stop)
	w.note("ordinary requests: %d answered with 200, %d not; %d runs at the replica", answered.Load(), unanswered.Load(), runs.Load())
	held := true
	for i, g := range machines {
		w.note("%s: %d ends for memory", g.name, ends[i])
		held = held && ends[i] < endsPerMachine
	}
	return held
}

// crowdRounds lets the crowd come three times and returns how often the process ended.
func crowdRounds(w *world, g *gateway) int {
	ends := 0
	for round := range endsPerMachine {
		quit := make(chan struct{})
		if w.trouble {
			w.note("%s: round %d: %d callers begin chunked bodies of %d bytes", g.name, round+1, crowd, bodyBytes)
			for range crowd {
				go partialBody(g, quit)
			}
		}
		if exceedsMemory(w, g) {
			ends++
		}
		close(quit)
		time.Sleep(500 * time.Millisecond)
		select {
		case <-g.hasEnded():
			g.start()
		default:
		}
		g.awaitReady()
		time.Sleep(time.Second)
	}
	return ends
}

// exceedsMemory watches the memory of a process for a while. It kills the process and
// returns true once that exceeds the machine's.
func exceedsMemory(w *world, g *gateway) bool {
	end, peak, pid := time.Now().Add(holdTime), 0, g.pid()
	for time.Now().Before(end) {
		rss := rssMB(pid)
		peak = max(peak, rss)
		if rss > memoryMB {
			w.note("%s: process %d has %d MB of %d MB: the platform kills it", g.name, pid, rss, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			<-g.hasEnded()
			return true
		}
		select {
		case <-g.hasEnded():
			w.note("%s: process %d has ended by itself, with %d MB at its peak", g.name, pid, peak)
			return true
		case <-time.After(10 * time.Millisecond):
		}
	}
	w.note("%s: process %d had %d MB at its peak", g.name, pid, peak)
	return false
}

// partialBody sends a request whose body stops one chunk short of its end, and keeps the
// connection open.
func partialBody(g *gateway, quit <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 15000\r\nCredential: %s\r\nTransfer-Encoding: chunked\r\n\r\n", host, newID(), key)
	chunk := append(fmt.Appendf(nil, "%x\r\n", chunkBytes), bytes.Repeat([]byte("x"), chunkBytes)...)
	chunk = append(chunk, "\r\n"...)
	for range bodyBytes/chunkBytes - 1 {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
	<-quit
}

// ordinaryCalls sends ten requests a second until stop.
func ordinaryCalls(w *world, g *gateway, stop <-chan struct{}, answered, unanswered *atomic.Int64) {
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := newID()
		status, err := ordinaryCall(client, g, id)
		if status == http.StatusOK {
			answered.Add(1)
			continue
		}
		unanswered.Add(1)
		w.note("%s: ordinary request %s: status %d, %v", g.name, id, status, err)
	}
}

func ordinaryCall(client *http.Client, g *gateway, id string) (int, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+g.front+"/puxa403/2f", nil)
	check(err)
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "1500")
	r.Header.Set("Credential", key)
	res, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	_ = res.Body.Close()
	return res.StatusCode, nil
}
