package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in replica. Each connection carries one request at a time.
type replica struct {
	world    *world
	id       string
	service  string
	listener net.Listener
	born     int64
	// answer answers a request. It returns false if the connection ends with it.
	answer func(c *replicaConn, r *http.Request) bool

	mu   sync.Mutex
	runs map[string]int // by Attempt-Id
}

// replicaConn is a connection that a replica has accepted.
type replicaConn struct {
	net.Conn
	replica *replica
	served  int // requests before the present one
}

// addReplica starts a replica and registers it in the store.
func (w *world) addReplica(service string, slots int, answer func(*replicaConn, *http.Request) bool) (*replica, error) {
	w.replicas++
	ln, err := net.Listen("tcp", fmt.Sprintf("127.42.%d.1:0", w.replicas))
	if err != nil {
		return nil, err
	}
	r := &replica{
		world: w, id: fmt.Sprintf("i-%s-%d", service, w.replicas), service: service, listener: ln,
		born: time.Now().UnixMilli(), answer: answer, runs: make(map[string]int),
	}
	go r.accept()
	w.store.put("servers", r.id, entry{Service: service, Address: ln.Addr().String(), Zone: "z", Version: "v1", Slots: slots, State: "ready", Sequence: 1, Born: r.born})
	return r, nil
}

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(&replicaConn{Conn: conn, replica: r})
	}
}

func (r *replica) serve(c *replicaConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Attempt-Id"), r.id)
			continue
		}
		if !r.answer(c, req) {
			return
		}
		c.served++
	}
}

// countRun records that a request runs.
func (r *replica) countRun(req *http.Request) string {
	id := req.Header.Get("Attempt-Id")
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	return id
}

// seal is the receipt of an answer.
func (r *replica) seal(id string) string { return r.id + "." + id }

// answerPlain answers a request with a whole body.
func answerPlain(c *replicaConn, req *http.Request, status int, body string) bool {
	id := req.Header.Get("Attempt-Id")
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nDate: %s\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), time.Now().UTC().Format(http.TimeFormat), id, c.replica.seal(id), len(body), body)
	return err == nil
}

// answerStream answers a request with a number of events, with a pause before
// each. It reports how many were written.
func answerStream(c *replicaConn, req *http.Request, events int, pause time.Duration) (int, error) {
	id := req.Header.Get("Attempt-Id")
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, c.replica.seal(id))
	for n := 1; n <= events && err == nil; n++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, id)
		if _, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return n - 1, err
		}
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return events, err
}
