package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	streams  = 12
	events   = 12
	eventGap = 200 * time.Millisecond
	stopGap  = time.Second
)

// secondStop: a planned stop while streams are in progress; the signal comes once more.
func secondStop(w *world) bool {
	var atWork atomic.Int64
	w.replica("i-llm-1", "llm", 64, func(rw http.ResponseWriter, r *http.Request) {
		w.note("replica: runs %s", r.Header.Get("Attempt-Id"))
		atWork.Add(1)
		defer atWork.Add(-1)
		rw.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			fmt.Fprintf(rw, "id: %d\ndata: t\n\n", i+1)
			rw.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				w.note("replica: the connection of %s was closed at event %d", r.Header.Get("Attempt-Id"), i+1)
				return
			case <-time.After(eventGap):
			}
		}
	})
	w.manifest(7, nil, newRoute("r1", "/pufi791/", "streaming", "llm", 15000, 500))
	g := w.gateway("edge-1", memoryMB, 0)
	g.awaitReady()
	time.Sleep(3500 * time.Millisecond)
	var group sync.WaitGroup
	var whole, cut, other atomic.Int64
	for range streams {
		group.Add(1)
		go func() {
			defer group.Done()
			readStream(w, g, &whole, &cut, &other)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	g.signal(syscall.SIGTERM)
	if w.trouble {
		time.Sleep(stopGap)
		g.signal(syscall.SIGTERM)
	}
	group.Wait()
	<-g.hasEnded()
	w.note("streams: %d whole, %d cut, %d otherwise", whole.Load(), cut.Load(), other.Load())
	return cut.Load() == 0
}

func readStream(w *world, g *gateway, whole, cut, other *atomic.Int64) {
	id := newID()
	r, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/pufi791/2f", nil)
	check(err)
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "15000")
	r.Header.Set("Credential", key)
	res, err := (&http.Client{}).Do(r)
	if err != nil {
		w.note("requester: %s: %v", id, err)
		cut.Add(1)
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		w.note("requester: %s: status %d", id, res.StatusCode)
		other.Add(1)
		return
	}
	lines, in := 0, bufio.NewReader(res.Body)
	for {
		line, err := in.ReadString('\n')
		if len(line) > 3 && line[:3] == "id:" {
			lines++
		}
		if err == io.EOF && lines == events {
			w.note("requester: %s: whole", id)
			whole.Add(1)
			return
		}
		if err != nil {
			w.note("requester: %s: ends after %d of %d events: %v", id, lines, events, err)
			cut.Add(1)
			return
		}
	}
}
