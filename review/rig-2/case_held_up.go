package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	cutTime    = 3150 * time.Millisecond
	drainBound = 2 * time.Second // drain_ms
	heldUp     = 24              // requests at the beginning of the cut
	firstRetry = 200 * time.Millisecond
)

// link is a proxy on the path between a gateway and a replica, which can be cut. As over
// TCP, what was sent into a cut arrives when it is sent again, after 0.2, 0.6, 1.4, 3.0
// and 6.2 s, the first time that the path is whole; it is lost if its sender has reset the
// connection meanwhile. A new connection can't be made during a cut.
type link struct {
	w          *world
	address    string
	target     string
	mu         sync.Mutex
	from, till time.Time // the cut
}

func newLink(w *world, target string) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l := &link{w: w, address: ln.Addr().String(), target: target}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			if l.isCut(time.Now()) {
				reset(near)
				continue
			}
			far, err := net.Dial("tcp", l.target)
			if err != nil {
				reset(near)
				continue
			}
			go l.pass(near, far)
			go l.pass(far, near)
		}
	}()
	return l
}

func (l *link) cut(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from, l.till = time.Now(), time.Now().Add(d)
}

func (l *link) isCut(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !at.Before(l.from) && at.Before(l.till)
}

func (l *link) isWholeFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.till)
}

// arrival returns when bytes arrive that were sent at an instant.
func (l *link) arrival(sent time.Time) time.Time {
	at, wait := sent, firstRetry
	for l.isCut(at) {
		at = at.Add(wait)
		wait *= 2
	}
	return at
}

func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		sent := time.Now()
		at := l.arrival(sent)
		time.Sleep(time.Until(at))
		if n > 0 && at.After(sent) && wasReset(from) {
			l.w.note("link: %d bytes are lost: their sender has reset the connection", n)
			err = syscall.ECONNRESET
		} else if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		switch {
		case err == nil:
		case errors.Is(err, syscall.ECONNRESET):
			reset(to)
			reset(from)
			return
		default:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// wasReset reports whether the peer of a connection has reset it.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	result := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		result = errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		return true
	})
	return result || errors.Is(err, os.ErrClosed)
}

// heldUpRequests: the path between the gateway and one replica is cut for some seconds;
// the replica leaves meanwhile. Streams that may be resumed go on at the other one.
func heldUpRequests(w *world) bool {
	var leavingAt atomic.Int64 // when the store acknowledged it, in microseconds
	var late, answered, others atomic.Int64
	var path *link
	run := func(id string, first time.Duration) func(http.ResponseWriter, *http.Request) {
		return func(rw http.ResponseWriter, r *http.Request) {
			if at := leavingAt.Load(); id == "i-llm-a" && at != 0 {
				after := time.Since(time.UnixMicro(at))
				w.note("replica %s: request %s arrives %.3f s after the leaving was acknowledged, %.3f s after the end of the cut", id, r.Header.Get("Attempt-Id"), after.Seconds(), path.isWholeFor().Seconds())
				if after > drainBound && path.isWholeFor() >= contact {
					late.Add(1)
				}
			}
			rw.Header().Set("Content-Type", "text/event-stream")
			time.Sleep(first)
			for i := range 3 {
				fmt.Fprintf(rw, "id: %d\ndata: t\n\n", i+1)
				rw.(http.Flusher).Flush()
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	state := w.replica("i-llm-a", "llm", 64, run("i-llm-a", 40*time.Millisecond))
	path = newLink(w, state["address"].(string))
	state["address"] = path.address
	w.store.put("servers", "i-llm-a", state)
	w.replica("i-llm-b", "llm", 64, run("i-llm-b", 50*time.Millisecond))
	r := newRoute("r1", "/pufi791/", "streaming", "llm", 3000, 600)
	r["stream_resume"], r["attempts"] = true, 2
	w.manifest(7, nil, r)
	g := w.gateway("edge-1", memoryMB, 0)
	g.awaitReady()
	ask := func() {
		id := newID()
		status, err := streamCall(g, id)
		if status == http.StatusOK && err == nil {
			answered.Add(1)
			return
		}
		others.Add(1)
		w.note("requester: %s: status %d, %v", id, status, err)
	}
	together := func(n int) {
		var group sync.WaitGroup
		for range n {
			group.Add(1)
			go func() {
				defer group.Done()
				ask()
			}()
		}
		group.Wait()
	}
	for range 8 { // several connections to each replica are kept
		together(heldUp)
		time.Sleep(400 * time.Millisecond)
	}
	if w.trouble {
		path.cut(cutTime)
		w.note("the path to i-llm-a is cut for %.2f s", cutTime.Seconds())
	}
	go together(heldUp)
	time.Sleep(time.Second)
	state["state"], state["sequence"] = "draining", 2
	w.store.put("servers", "i-llm-a", state)
	leavingAt.Store(time.Now().UnixMicro())
	w.note("i-llm-a is leaving: acknowledged by the store")
	time.Sleep(6500 * time.Millisecond)
	w.note("requests: %d answered, %d otherwise; %d reached i-llm-a too late", answered.Load(), others.Load(), late.Load())
	return late.Load() == 0
}

func streamCall(g *gateway, id string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.front+"/pufi791/2f", nil)
	check(err)
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Credential", key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 4 * time.Second}
	res, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = readAll(res)
	return res.StatusCode, err
}
