package replica

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// Replica is a stand-in upstream: an HTTP server and the one thread that serves
// its calls. All fields belong to that thread. Other threads may only call Open,
// Run, Close, Post and Address; they reach the other methods through Post.
type Replica struct {
	*host.Host
	config Config
	runs   []Run
	// requests counts those that were meant for this instance.
	requests int
	// gone holds the calls whose callers have closed their connections.
	gone        map[*host.Call]bool
	callersGone int
}

// New returns a replica that is not listening yet; see Open.
func New(config Config) *Replica {
	return &Replica{
		Host:   host.New(host.Config{Name: "replica", Address: config.Address}),
		config: config,
		gone:   make(map[*host.Call]bool),
	}
}

// Open starts to listen. Calls are served once Run is called.
func (r *Replica) Open() error { return r.Host.Open(&handler{replica: r}) }

// UpdateConfig calls change with the configuration, which takes effect at once,
// also for open streams.
func (r *Replica) UpdateConfig(change func(*Config)) { change(&r.config) }

// Runs returns a copy of the list of requests that were run, in order.
func (r *Replica) Runs() []Run { return append([]Run{}, r.runs...) }

// CallersGone returns the number of requests whose callers closed the connection
// before the end of the response.
func (r *Replica) CallersGone() int { return r.callersGone }

// serve runs a request as configured. A request with Last-Event-Id resumes its
// stream after that event.
func (r *Replica) serve(c *host.Call) {
	header := http.Header{"Attempt-Id": {c.Header.Get("Attempt-Id")}}
	if r.config.Draining {
		header.Set("Server-Leaving", "1")
	}
	if expected := c.Header.Get("Expect-Instance"); expected != "" && expected != r.config.ID {
		header.Set("Instance-Id", r.config.ID)
		c.Reply(http.StatusMisdirectedRequest, header, nil)
		return
	}
	r.requests++
	if r.config.RejectAll || (r.config.RejectEvery > 0 && r.requests%r.config.RejectEvery == 0) {
		header.Set("Not-Executed", "1")
		if r.config.RetryAfter != "" {
			header.Set("Retry-After", r.config.RetryAfter)
		}
		c.Reply(http.StatusServiceUnavailable, header, nil)
		return
	}
	r.runs = append(r.runs, Run{ID: c.Header.Get("Attempt-Id"), Header: c.Header.Clone(), Body: c.Body, Path: c.Path})
	header.Set("Response-Seal", "seal-"+r.config.ID)
	switch {
	case r.config.NeverRespond:
	case r.config.DropResponses:
		c.Abort()
	case r.config.FailStatus != 0:
		c.Reply(r.config.FailStatus, header, []byte("failed"))
	case r.config.Events > 0:
		after, err := strconv.Atoi(c.Header.Get("Last-Event-Id"))
		if err != nil {
			after = 0
		}
		header.Set("Content-Type", "text/event-stream")
		c.StartStream(http.StatusOK, header)
		r.writeEvents(c, after+1)
	default:
		r.After(r.config.Delay, func() { c.Reply(http.StatusOK, header, append([]byte("ok "), c.Body...)) })
	}
}

// writeEvents writes event n of a stream, and the following ones after the delay.
// A stream that breaks off ends in the middle of an event.
func (r *Replica) writeEvents(c *host.Call, n int) {
	if r.gone[c] {
		return
	}
	if r.config.BreakAfter > 0 && n > r.config.BreakAfter {
		c.WriteStream([]byte("id: " + strconv.Itoa(n) + "\nda"))
		c.Abort()
		return
	}
	if n > r.config.Events {
		c.EndStream()
		return
	}
	c.WriteStream(fmt.Appendf(nil, "id: %d\ndata: event %d\n\n", n, n))
	r.After(max(r.config.Delay, time.Microsecond), func() { r.writeEvents(c, n+1) })
}
