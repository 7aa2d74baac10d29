package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota-kills"] = playQuotaKills }

// The case "quota-kills".
const (
	quotaRate     = 29000 // rate_per_s and burst of the tenant, in tokens
	quotaWindow   = 8 * time.Second
	quotaOverage  = 0.1
	quotaSlack    = 110000
	requestTokens = 2000
	// quotaSenders at each gateway send a request quotaPause after their last answer:
	// together up to 60 a second, which is 120,000 tokens. That is 7.5 times the usual
	// of a tenant whose limit is 1.8 times its usual, as on the users' sites.
	quotaSenders = 6
	quotaPause   = 400 * time.Millisecond
	// quotaTime is how long they send.
	quotaTime = 10 * time.Second
)

// killTimes are when all processes are killed, from the beginning of the traffic. Each
// is started again at once.
var killTimes = []time.Duration{1800 * time.Millisecond}

// playQuotaKills lets one tenant send many times its limit while all processes are
// killed at once. QUOTA is broken if in some window more tokens are both sent and run
// than the limit allows, with overage and slack.
func playQuotaKills(w *world) (bool, error) {
	m := baseManifest(3)
	m.Tenants[0].RatePerS, m.Tenants[0].Burst = quotaRate, quotaRate
	w.configure(m)
	var mu sync.Mutex
	ran := make(map[string]bool)
	for range 3 {
		_, err := w.addReplica(llmService, 64, func(c *replicaConn, r *http.Request) bool {
			id := c.replica.countRun(r)
			mu.Lock()
			ran[id] = true
			mu.Unlock()
			_, err := answerStream(c, r, 3, 10*time.Millisecond)
			return err == nil
		})
		if err != nil {
			return false, err
		}
	}
	for range 4 {
		if _, err := w.addGateway(w.store.address()); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	start := time.Now()
	sent := make(map[string]time.Duration)
	statuses := make(map[int]int)
	var group sync.WaitGroup
	for n := range quotaSenders * len(w.gateways) {
		g := w.gateways[n%len(w.gateways)]
		group.Go(func() {
			var conn *requester
			for i := 0; time.Since(start) < quotaTime; i++ {
				time.Sleep(quotaPause)
				if conn == nil {
					var err error
					if conn, err = connect(g.front); err != nil {
						conn = nil
						continue
					}
				}
				id := fmt.Sprintf("%d-%d", n, i)
				mu.Lock()
				sent[id] = time.Since(start)
				mu.Unlock()
				got := conn.ask("POST", "/prompt/hot", id, apiKey, 3*time.Second, "prompt", "Model: m", "Token-Usage: 1900,100", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:1000,%x:900", n*100000+i))
				mu.Lock()
				statuses[got.status]++
				mu.Unlock()
				if got.err != nil || got.header.Get("Connection") == "close" {
					conn.close()
					conn = nil
				}
			}
		})
	}
	for _, at := range killTimes {
		if !w.trouble {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		w.logf("all processes are killed, %.3f s after the beginning of the traffic", time.Since(start).Seconds())
		if err := w.restartAll(); err != nil {
			return false, err
		}
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	var times []time.Duration
	for id := range ran {
		times = append(times, sent[id])
	}
	slices.Sort(times)
	most, from := 0, time.Duration(0)
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at < first+quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first
		}
	}
	allowed := (quotaRate*quotaWindow.Seconds()+quotaRate)*(1+quotaOverage) + quotaSlack
	w.logf("answers by status: %v", statuses)
	w.logf("%d requests ran; most in a window of 8 s: %d tokens, from %.3f s on; allowed are %.0f", len(times), most*requestTokens, from.Seconds(), allowed)
	if len(times) == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return float64(most*requestTokens) > allowed, nil
}

// restartAll kills all processes at once, and starts them again.
func (w *world) restartAll() error {
	for _, g := range w.gateways {
		g.signal(syscall.SIGKILL)
	}
	for _, g := range w.gateways {
		<-g.ended
	}
	failures := make(chan error, len(w.gateways))
	for _, g := range w.gateways {
		go func() { failures <- g.start() }()
	}
	var first error
	for range w.gateways {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}
