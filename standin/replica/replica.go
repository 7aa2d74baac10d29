package replica

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorecourse/sycamorecourse/standin/host"
)

// Replica is an upstream. Its fields and methods but Open, Run, Close, Post and
// Address belong to its duty.
type Replica struct {
	*host.Host
	config Config
	runs   []Run
	gone   map[*host.Call]bool
	left   int
}

// New makes a replica; Open starts it.
func New(config Config) *Replica {
	return &Replica{
		Host:   host.New(host.Config{Name: "replica", Address: config.Address}),
		config: config,
		gone:   make(map[*host.Call]bool),
	}
}

// Open listens. Run is the duty.
func (r *Replica) Open() error { return r.Host.Open(&behavior{replica: r}) }

// Change changes the configuration.
func (r *Replica) Change(change func(*Config)) { change(&r.config) }

// Runs returns the requests that were run.
func (r *Replica) Runs() []Run { return append([]Run{}, r.runs...) }

// Left returns the number of requests whose callers closed their connections.
func (r *Replica) Left() int { return r.left }

func (r *Replica) serve(c *host.Call) {
	header := http.Header{"Attempt-Id": {c.Header.Get("Attempt-Id")}}
	if expected := c.Header.Get("Expect-Instance"); expected != "" && expected != r.config.ID {
		header.Set("Instance-Id", r.config.ID)
		c.Reply(http.StatusMisdirectedRequest, header, nil)
		return
	}
	if r.config.Full {
		header.Set("Not-Executed", "1")
		c.Reply(http.StatusServiceUnavailable, header, nil)
		return
	}
	r.runs = append(r.runs, Run{ID: c.Header.Get("Attempt-Id"), Header: c.Header.Clone(), Body: c.Body, Target: c.Path})
	header.Set("Response-Seal", "seal-"+r.config.ID)
	switch {
	case r.config.Mute:
	case r.config.Drop:
		c.Abort()
	case r.config.Fail != 0:
		c.Reply(r.config.Fail, header, []byte("failed"))
	case r.config.Events > 0:
		after, err := strconv.Atoi(c.Header.Get("Last-Event-Id"))
		if err != nil {
			after = 0
		}
		header.Set("Content-Type", "text/event-stream")
		c.StartStream(http.StatusOK, header)
		r.event(c, after+1)
	default:
		r.After(r.config.Pause, func() { c.Reply(http.StatusOK, header, append([]byte("ok "), c.Body...)) })
	}
}

func (r *Replica) event(c *host.Call, n int) {
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
	r.After(max(r.config.Pause, time.Microsecond), func() { r.event(c, n+1) })
}
