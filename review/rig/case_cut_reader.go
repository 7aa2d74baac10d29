package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cut-reader"] = playCutReader }

const (
	// readerGateways is the number of gateways of the case "cut-reader".
	readerGateways = 12
	// cutTime is how long one of them is cut off from the store: less than the 5.5 s
	// of the users' sites.
	cutTime = 4 * time.Second
	// cutRounds is how often, each time another manifest follows.
	cutRounds = 7
	// configTime is config_ms.
	configTime = 2 * time.Second
	// restTime is the time before each round, and roundShift how much longer it is from
	// round to round, so that the cuts don't come at one point of the calls.
	restTime   = 5 * time.Second
	roundShift = 170 * time.Millisecond
	// countTime is the time over which the calls to the store are counted.
	countTime = 3 * time.Second
	// droppedKey is the key that is dropped in each round.
	droppedKey = "key-dropped"
)

// playCutReader cuts the gateway that calls the store most often off from it, and
// drops a key soon after. CONFIG is broken if another gateway still serves a request
// with that key that is sent later than config_ms after the store has acknowledged
// the manifest.
func playCutReader(w *world) (bool, error) {
	m := baseManifest(3)
	second := m.Tenants[0]
	second.Name = "second"
	m.Tenants = append(m.Tenants, second)
	for range 3 {
		_, err := w.addReplica(appService, 60, func(c *replicaConn, r *http.Request) bool {
			return answerPlain(c, r, http.StatusOK, "done "+c.replica.countRun(r))
		})
		if err != nil {
			return false, err
		}
	}
	m.Tenants[1].APIKeys = []string{droppedKey}
	w.configure(m)
	var proxies []*proxy
	for range readerGateways {
		p, err := newProxy(platformIP+":0", w.store.address())
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
		if _, err := w.addGateway(p.address()); err != nil {
			return false, err
		}
	}
	broken := 0
	for round := range cutRounds {
		m.Version += 3
		m.Tenants[1].APIKeys = []string{droppedKey}
		w.configure(m)
		time.Sleep(restTime + time.Duration(round)*roundShift)
		cut := busiest(proxies)
		w.logf("round %d: %s calls the store most often", round+1, w.gateways[cut].name)
		if w.trouble {
			w.logf("%s is cut off from the store", w.gateways[cut].name)
			proxies[cut].cut()
		}
		time.Sleep(50 * time.Millisecond)
		m.Version += 3
		m.Tenants[1].APIKeys = []string{"key-second"}
		ackAt := w.configure(m)
		broken += w.useDroppedKey(cut, round, ackAt)
		proxies[cut].heal()
	}
	w.logf("CONFIG: %d requests with the dropped key were served too late by gateways that were not cut off", broken)
	return broken > 0, nil
}

// busiest returns the proxy of the gateway that makes the most calls.
func busiest(proxies []*proxy) int {
	before := make([]int64, len(proxies))
	for i, p := range proxies {
		before[i] = p.calls.Load()
	}
	time.Sleep(countTime)
	best, most := 0, int64(-1)
	for i, p := range proxies {
		if n := p.calls.Load() - before[i]; n > most {
			best, most = i, n
		}
	}
	return best
}

// useDroppedKey sends requests with the dropped key to all gateways but the one that
// is cut off, and returns how many were served too late.
func (w *world) useDroppedKey(cut, round int, ackAt time.Time) int {
	var mu sync.Mutex
	var group sync.WaitGroup
	late := make(map[string]int)
	last, sum, served := ackAt, 0, 0
	for i, g := range w.gateways {
		if i == cut {
			continue
		}
		group.Go(func() {
			conn, err := connect(g.front)
			for n := 0; err == nil && time.Since(ackAt) < cutTime; n++ {
				sent := time.Now()
				got := conn.ask("GET", "/locate/bus", fmt.Sprintf("%d-%d-%d", round, i, n), droppedKey, 1500*time.Millisecond, "")
				if got.err != nil {
					conn.close()
					conn, err = connect(g.front)
					continue
				}
				mu.Lock()
				if got.status == http.StatusOK {
					served++
					if sent.After(last) {
						last = sent
					}
					if sent.Sub(ackAt) > configTime+touchSlack {
						late[g.name]++
						sum++
					}
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
			if err == nil {
				conn.close()
			}
		})
	}
	group.Wait()
	w.logf("%d requests with the dropped key were served, the last one sent %.3f s after the ack; too late, by gateway: %v", served, last.Sub(ackAt).Seconds(), late)
	return sum
}
