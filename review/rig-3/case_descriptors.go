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
	// maxFDs is the limit of descriptors in the settings, and of the process.
	maxFDs = 600
	// crowd is the number of connections that clients open, begin a request on and leave open.
	crowd = 700
	// openFor is how long they stay open at most, and tryEvery how often each requester tries.
	openFor  = 25 * time.Second
	tryEvery = 250 * time.Millisecond
	// requesters is the least number of requesters that RECOVER asks for, and contact is
	// contact_ms.
	requesters = 8
	contact    = 3 * time.Second
)

// crowdCase: clients that the operators don't control begin a request each and stay open.
// Requesters try new connections meanwhile, and the platform asks whether the machine is
// ready, over the connection that it has kept since before.
func crowdCase(w *world, trouble bool) (int, error) {
	serve := func(r *replica, q *http.Request, _ []byte, out net.Conn) bool {
		time.Sleep(60 * time.Millisecond)
		body := strings.Repeat("b", 800)
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s", q.Header.Get("Attempt-Id"), r.id, len(body), body)
		return true
	}
	for i := range 3 {
		if _, err := w.startReplica(fmt.Sprintf("i-book%d", i), "wuno96b", 6, serve); err != nil {
			return failed, err
		}
	}
	w.writeManifest(7, []route{{Name: "r-stock", Host: host, Prefix: "/cufi504/", Kind: "idempotent", TimeoutMS: 800, TargetMS: 300, Service: "wuno96b", Attempts: 2}}, "wuno96b")
	g, err := w.addGateway("edge-regina-hall-1", fmt.Sprintf("cpu_share = 0.608\ncores = 1\nmemory_mb = 414\nmax_fds = %d\nlink_mbps = 1500.0\ndisk_mb = 0\n", maxFDs))
	if err != nil {
		return failed, err
	}
	if err := w.start(g, fmt.Sprintf("ulimit -n %d", maxFDs)); err != nil {
		return failed, err
	}
	if err := w.awaitReady(g); err != nil {
		return failed, err
	}
	check, err := newReadyCheck(g)
	if err != nil {
		return failed, err
	}
	defer check.close()
	if !check.isReady() {
		return failed, fmt.Errorf("the readiness check does not keep its connection")
	}
	var open []net.Conn
	if trouble {
		for range crowd {
			c, err := net.DialTimeout("tcp", g.front, time.Second)
			if err != nil {
				break
			}
			_, _ = fmt.Fprintf(c, "POST /cufi504/2f HTTP/1.1\r\nHost: %s\r\n", host)
			open = append(open, c)
		}
		w.note("clients have opened %d connections, begun a request on each and stay open", len(open))
	}
	taken, longest := w.tryConnections(g, check)
	for _, c := range open {
		_ = c.Close()
	}
	time.Sleep(time.Second)
	after, _ := w.try(g, "9c41d07be2a3ffff")
	w.note("the clients have closed their connections; a requester tries again: taken %v", after)
	w.note("%d new connections were taken; the longest time without one, while the machine said it was ready: %.1f s", taken, longest.Seconds())
	w.copyLogs(8)
	if g.hasEnded() {
		w.note("the process has ended")
		return broken, nil
	}
	if longest >= contact {
		w.note("RECOVER is broken")
		return broken, nil
	}
	w.note("RECOVER holds")
	return held, nil
}

// tryConnections lets the requesters try new connections for openFor. It returns how many
// were taken, and the longest time without one at whose ends the machine said it was ready.
func (w *world) tryConnections(g *gateway, check *readyCheck) (taken int, longest time.Duration) {
	var count atomic.Int64
	var mu sync.Mutex
	last := time.Now()
	end := last.Add(openFor)
	var group sync.WaitGroup
	reasons := make(map[string]int)
	for i := range requesters {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(end); n++ {
				ok, reason := w.try(g, fmt.Sprintf("9c41d0%04x%06x", i, n))
				mu.Lock()
				if ok {
					last = time.Now()
					count.Add(1)
				} else {
					reasons[reason]++
				}
				mu.Unlock()
				time.Sleep(tryEvery)
			}
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		ready := check.isReady()
		mu.Lock()
		silent := time.Since(last)
		if ready {
			longest = max(longest, silent)
		}
		mu.Unlock()
		w.note("ready: %v; %d connections taken so far, none for %.1f s", ready, count.Load(), silent.Seconds())
	}
	group.Wait()
	for reason, n := range reasons {
		w.note("not taken, %d times: %s", n, reason)
	}
	return int(count.Load()), longest
}

// try opens a connection and sends a request. The connection is taken if it is answered.
func (w *world) try(g *gateway, id string) (bool, string) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return false, "connect failed"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, _ = conn.Write(requestText(http.MethodGet, "/cufi504/2f", id, 1500*time.Millisecond, "", nil))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, "closed or reset before an answer"
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return true, ""
}

// readyCheck is the platform's check, which keeps its connection.
type readyCheck struct {
	conn net.Conn
	in   *bufio.Reader
}

func newReadyCheck(g *gateway) (*readyCheck, error) {
	conn, err := net.DialTimeout("tcp", g.ready, time.Second)
	if err != nil {
		return nil, err
	}
	return &readyCheck{conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *readyCheck) close() { _ = c.conn.Close() }

func (c *readyCheck) isReady() bool {
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprint(c.conn, "GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n"); err != nil {
		return false
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}
