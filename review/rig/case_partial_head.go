package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["partial-head"] = playPartialHead }

// The doses of the case "partial-head".
const (
	// refuseEvery is how often a replica refuses a request as one that is full does:
	// one in 40, which is 2.5%.
	refuseEvery = 40
	// failEvery is how often a replica fails a request by itself, 2%.
	failEvery = 50
	// partialHeadRequests is the number of requests.
	partialHeadRequests = 2400
	// callerPause is the pause of a requester before each request.
	callerPause = 20 * time.Millisecond
	// callers is the number of connections of requesters.
	callers = 4
)

// refusalHead begins the answer of a replica that is full. What follows are the
// other fields and the blank line.
const refusalHead = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1"

// given is an answer that a replica has given to a request that it ran.
type given struct {
	status int
	body   string
}

// faultyService runs requests that are not idempotent, and keeps what became of
// each.
type faultyService struct {
	mu      sync.Mutex
	world   *world
	count   map[string]int
	runs    map[string][]string // ids of the replicas that ran a request
	answers map[string]given    // by receipt
	copies  int
	faulty  string // id of the faulty replica
}

func (f *faultyService) answer(c *replicaConn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	f.mu.Lock()
	f.count[c.replica.id]++
	n := f.count[c.replica.id]
	f.mu.Unlock()
	if n%refuseEvery == 0 {
		return f.refuse(c, id)
	}
	g := given{status: http.StatusOK, body: "done " + id}
	if n%failEvery == 0 {
		g = given{status: http.StatusInternalServerError, body: "failed " + id}
	}
	f.mu.Lock()
	f.runs[id] = append(f.runs[id], c.replica.id)
	f.answers[c.replica.seal(id)] = g
	f.mu.Unlock()
	time.Sleep(3 * time.Millisecond)
	return answerPlain(c, r, g.status, g.body)
}

// refuse answers that the replica is full. The faulty replica sends the beginning of a
// second copy after that.
func (f *faultyService) refuse(c *replicaConn, id string) bool {
	_, err := fmt.Fprintf(c, "%s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", refusalHead, id)
	if err != nil {
		return false
	}
	if f.world.trouble && c.replica.id == f.faulty {
		f.mu.Lock()
		f.copies++
		f.mu.Unlock()
		_, err = c.Write([]byte(refusalHead))
	}
	return err == nil
}

// playPartialHead sends requests that are not idempotent, while one replica sends
// the beginning of a second copy after each of its refusals. TWICE is broken if a
// request runs more than once.
func playPartialHead(w *world) (bool, error) {
	w.configure(baseManifest(3))
	f := &faultyService{world: w, count: make(map[string]int), runs: make(map[string][]string), answers: make(map[string]given)}
	for i := range 3 {
		r, err := w.addReplica(appService, 6, f.answer)
		if err != nil {
			return false, err
		}
		if i == 0 {
			f.faulty = r.id
		}
	}
	g, err := w.addGateway(w.store.address())
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := make(map[int]int)
	twice, others := 0, 0
	for caller := range callers {
		group.Go(func() {
			var conn *requester
			for n := range partialHeadRequests / callers {
				if conn == nil {
					var err error
					if conn, err = connect(g.front); err != nil {
						w.logf("no connection: %v", err)
						return
					}
				}
				time.Sleep(callerPause)
				id := fmt.Sprintf("%d-%d", caller, n)
				got := conn.ask("POST", "/confirm/child", id, apiKey, 1500*time.Millisecond, "confirm")
				runs, wrong := f.check(id, got)
				mu.Lock()
				statuses[got.status]++
				if len(runs) > 1 {
					twice++
					w.logf("request %s ran %d times, at %v; the requester got %v", id, len(runs), runs, got)
				}
				if wrong != "" {
					others++
					w.logf("request %s got %v, ran at %v: %s", id, got, runs, wrong)
				}
				mu.Unlock()
				if got.err != nil || got.header.Get("Connection") == "close" {
					conn.close()
					conn = nil
				}
			}
		})
	}
	group.Wait()
	w.logf("%d parts of copies were sent; answers by status: %v", f.copies, statuses)
	w.logf("TWICE: %d requests ran more than once; besides, REFUSED or MIXED: %d", twice, others)
	if statuses[http.StatusOK] == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return twice > 0, nil
}

// check returns where a request ran and what else is wrong with its answer: it
// promises that the request has not run although it has, or it differs from the one
// that the replica of its receipt has given.
func (f *faultyService) check(id string, got answer) ([]string, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := append([]string{}, f.runs[id]...)
	seal := got.header.Get("Response-Seal")
	g, ok := f.answers[seal]
	switch {
	case got.err != nil:
		return runs, ""
	case got.status == http.StatusServiceUnavailable && len(runs) > 0:
		return runs, "REFUSED: the answer promises that it has not run"
	case seal == "" && got.status/100 == 2:
		return runs, "MIXED: a success without a receipt"
	case seal == "":
		return runs, ""
	case !ok || g.status != got.status || g.body != got.body:
		return runs, fmt.Sprintf("MIXED: the replica had answered with status %d and the body %q", g.status, g.body)
	default:
		return runs, ""
	}
}
