package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	answerBytes = 4150000
	readers     = 10
	readPiece   = 64 << 10
	readPause   = 250 * time.Millisecond // about 2 Mbit a second
)

// slowReaders: a planned stop while callers are reading long answers slowly.
func slowReaders(w *world) bool {
	answer := make([]byte, answerBytes)
	w.replica("i-app-1", "app", 64, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Length", fmt.Sprint(answerBytes))
		_, _ = rw.Write(answer)
		w.note("replica: %s answered", r.Header.Get("Attempt-Id"))
	})
	w.manifest(7, nil, newRoute("r1", "/puxa403/", "idempotent", "app", 30000, 10000))
	g := w.gateway("edge-1", memoryMB, 0)
	g.awaitReady()
	time.Sleep(3500 * time.Millisecond)
	var group sync.WaitGroup
	var whole, cut atomic.Int64
	for range readers {
		group.Add(1)
		go func() {
			defer group.Done()
			readSlowly(w, g, &whole, &cut)
		}()
	}
	time.Sleep(700 * time.Millisecond)
	if w.trouble {
		g.signal(syscall.SIGTERM)
	}
	group.Wait()
	w.note("answers: %d whole, %d cut", whole.Load(), cut.Load())
	return cut.Load() == 0
}

func readSlowly(w *world, g *gateway, whole, cut *atomic.Int64) {
	id := newID()
	conn, err := net.Dial("tcp", g.front)
	check(err)
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(128 << 10)
	fmt.Fprintf(conn, "GET /puxa403/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 30000\r\nCredential: %s\r\n\r\n", host, id, key)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.note("requester: %s: %v", id, err)
		cut.Add(1)
		return
	}
	total := 0
	for {
		n, err := io.CopyN(io.Discard, res.Body, readPiece)
		total += int(n)
		if err == io.EOF && total == answerBytes {
			w.note("requester: %s: status %d, whole", id, res.StatusCode)
			whole.Add(1)
			return
		}
		if err != nil {
			w.note("requester: %s: status %d ends after %d of %d bytes: %v", id, res.StatusCode, total, answerBytes, err)
			cut.Add(1)
			return
		}
		time.Sleep(readPause)
	}
}
