package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain-stream"] = playDrainStream }

// The stream of the case "drain-stream": longer than what is left of the grace
// period, shorter than the requester's time budget.
const (
	streamEvents = 120
	streamPause  = 60 * time.Millisecond
	streamBudget = 15 * time.Second
)

// latestExcused is how long after the SIGTERM a request may be sent that may still
// be cut off at the end of the grace period.
const latestExcused = 3 * time.Second

// playDrainStream sends streamed requests to a gateway that has got SIGTERM, a
// little later than those that may be cut. LOST is broken if one is passed on to a
// replica and its connection ends without a complete answer.
func playDrainStream(w *world) (bool, error) {
	w.configure(baseManifest(3))
	var mu sync.Mutex
	begun, written := make(map[string]time.Time), make(map[string]int)
	for range 2 {
		_, err := w.addReplica(llmService, 64, func(c *replicaConn, r *http.Request) bool {
			id := c.replica.countRun(r)
			mu.Lock()
			begun[id] = time.Now()
			mu.Unlock()
			n, err := answerStream(c, r, streamEvents, streamPause)
			w.logf("replica %s has written %d of %d events of %s (%v)", c.replica.id, n, streamEvents, id, err)
			mu.Lock()
			written[id] = n
			mu.Unlock()
			return err == nil
		})
		if err != nil {
			return false, err
		}
	}
	g, err := w.addGateway(w.store.address())
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	if w.trouble {
		g.signal(syscall.SIGTERM)
	}
	var group sync.WaitGroup
	broken := false
	for i, after := range []time.Duration{500 * time.Millisecond, 3200 * time.Millisecond, 3400 * time.Millisecond, 3600 * time.Millisecond} {
		group.Go(func() {
			time.Sleep(time.Until(start.Add(after)))
			id := fmt.Sprintf("stream-%d", i)
			w.logf("the directory answers %s", g.resolve())
			conn, err := connect(g.front)
			if err != nil {
				w.logf("request %s: no connection: %v", id, err)
				return
			}
			defer conn.close()
			sent := time.Now()
			w.logf("request %s is sent %.3f s after the SIGTERM", id, sent.Sub(start).Seconds())
			got := conn.ask("POST", "/prompt/stop", id, apiKey, streamBudget, "prompt", "Model: m", "Token-Usage: 600,480", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:100,91bd3f06:80,%x:420", 0xe4402b70+i))
			ended := time.Now()
			complete := got.err == nil && got.status == http.StatusOK && strings.Count(got.body, "\n\n") == streamEvents
			isRefused := got.err == nil && got.status == http.StatusServiceUnavailable
			mu.Lock()
			at, ran := begun[id]
			mu.Unlock()
			w.logf("request %s got %v, %d events, %.3f s after it was sent and %.3f s after the SIGTERM; run by a replica: %v",
				id, got, strings.Count(got.body, "\n\n"), ended.Sub(sent).Seconds(), ended.Sub(start).Seconds(), ran)
			isExcused := sent.Sub(start) <= latestExcused || ended.Sub(sent) >= streamBudget
			if ran && !complete && !isRefused && !isExcused {
				w.logf("request %s: passed on %.3f s after the SIGTERM, and cut off", id, at.Sub(start).Seconds())
				mu.Lock()
				broken = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(200 * time.Millisecond)
	return broken, nil
}
