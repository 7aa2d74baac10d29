package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent-store"] = playSilentStore }

const (
	// silentGateways is the number of gateways, as on the users' small sites.
	silentGateways = 4
	// startGap is the time between the starts of two gateways, so that their calls to
	// the store are spread over the time that one of them waits for changes.
	startGap = 275 * time.Millisecond
	// requestPause is the pause between two requests at each gateway.
	requestPause = 10 * time.Millisecond
	// touchSlack allows for the time that the record itself takes.
	touchSlack = 20 * time.Millisecond
	// fastWork and slowWork are the times that replicas take for a request. The one
	// that leaves is the fast one.
	fastWork = 4 * time.Millisecond
	slowWork = 12 * time.Millisecond
)

// leaving is what the case "silent-store" observes.
type leaving struct {
	mu      sync.Mutex
	gone    *replica             // whose entry is removed
	sentAt  map[string]time.Time // by request
	arrived map[string]bool      // requests that reached gone
}

// playSilentStore makes the open connections between the gateways and the store
// silent, and removes the entry of a replica soon after. DRAIN is broken if a
// request that is sent later than drain_ms after the removal, and contact_ms after
// the connections went silent, reaches that replica.
func playSilentStore(w *world) (bool, error) {
	w.configure(baseManifest(3))
	l := &leaving{sentAt: make(map[string]time.Time), arrived: make(map[string]bool)}
	if err := l.addReplicas(w); err != nil {
		return false, err
	}
	var proxies []*proxy
	for range silentGateways {
		time.Sleep(startGap)
		p, err := newProxy(platformIP+":0", w.store.address())
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
		if _, err := w.addGateway(p.address()); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	end := make(chan struct{})
	var group sync.WaitGroup
	for i, g := range w.gateways {
		group.Go(func() { l.press(g, i+1, end) })
	}
	time.Sleep(time.Second)
	silentAt := time.Now()
	if w.trouble {
		for i, p := range proxies {
			w.logf("%d open connections of %s to the store go silent", p.silence(), w.gateways[i].name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	removedAt := w.store.remove("servers", l.gone.id)
	w.logf("the store acknowledges that the entry of %s is removed; it goes on serving", l.gone.id)
	time.Sleep(8 * time.Second)
	close(end)
	group.Wait()
	from := removedAt.Add(drainTime)
	if touch := silentAt.Add(contactTime); w.trouble && touch.After(from) {
		from = touch
	}
	return l.judge(w, silentAt, from.Add(touchSlack))
}

// addReplicas starts three replicas, of which the last one leaves later.
func (l *leaving) addReplicas(w *world) error {
	for _, work := range []time.Duration{slowWork, slowWork, fastWork} {
		r, err := w.addReplica(appService, 6, func(c *replicaConn, r *http.Request) bool {
			id := c.replica.countRun(r)
			l.mu.Lock()
			l.arrived[id] = l.arrived[id] || c.replica == l.gone
			l.mu.Unlock()
			time.Sleep(work)
			return answerPlain(c, r, http.StatusOK, "done "+id)
		})
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.gone = r
		l.mu.Unlock()
	}
	return nil
}

// press sends requests to a gateway, one after the other, until the end.
func (l *leaving) press(g *gateway, number int, end <-chan struct{}) {
	conn, err := connect(g.front)
	for n := 0; err == nil; n++ {
		select {
		case <-end:
			conn.close()
			return
		case <-time.After(requestPause):
		}
		id := fmt.Sprintf("%d-%d", number, n)
		l.mu.Lock()
		l.sentAt[id] = time.Now()
		l.mu.Unlock()
		if got := conn.ask("GET", "/locate/bus", id, apiKey, 1500*time.Millisecond, ""); got.err != nil {
			conn.close()
			conn, err = connect(g.front)
		}
	}
}

// judge counts what was sent after an instant and should not have been.
func (l *leaving) judge(w *world, silentAt, from time.Time) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := make(map[string]int)
	reached, last := 0, silentAt
	for id, at := range l.sentAt {
		if !l.arrived[id] {
			continue
		}
		reached++
		if at.After(last) {
			last = at
		}
		if at.After(from) {
			late["edge-"+id[:1]]++
		}
	}
	w.logf("%d requests in all, %d reached %s, the last one %.3f s after the connections went silent",
		len(l.sentAt), reached, l.gone.id, last.Sub(silentAt).Seconds())
	w.logf("DRAIN: requests that were sent later than %.3f s after that and reached it, by gateway: %v", from.Sub(silentAt).Seconds(), late)
	if reached == 0 {
		return false, fmt.Errorf("no request reached %s at all", l.gone.id)
	}
	return len(late) > 0, nil
}
