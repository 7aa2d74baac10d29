package report

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/edge/httpd"
)

// sectionWait is how long a dump waits for the duties.
const sectionWait = time.Second

// inboxCapacity is the number of requests that may wait for the report duty.
const inboxCapacity = 64

// Report answers GET /metrics, /debug/state and /healthz. It implements
// httpd.Handler. All Add calls come before Run.
type Report struct {
	process  Process
	started  time.Time
	registry *prometheus.Registry
	group    *thread.Group
	inbox    *ring.Ring[*httpd.Exchange]
	rings    []func() ring.Stats
	names    []string
	sources  []Source
}

// New makes the report of a process. The process id, threads and uptime are
// filled in at each dump.
func New(process Process, registry *prometheus.Registry, group *thread.Group) *Report {
	r := &Report{
		process:  process,
		started:  time.Now(),
		registry: registry,
		group:    group,
		inbox:    ring.New[*httpd.Exchange]("report", inboxCapacity),
	}
	r.AddRing(r.inbox.Stats)
	registry.MustRegister(&ringCollector{report: r})
	return r
}

// AddRing makes a ring part of the dump and the metrics.
func (r *Report) AddRing(stats func() ring.Stats) {
	r.rings = append(r.rings, stats)
}

// AddSource makes a duty part of the dump.
func (r *Report) AddSource(name string, source Source) {
	r.names = append(r.names, name)
	r.sources = append(r.sources, source)
}

// Serve implements httpd.Handler.
func (r *Report) Serve(x *httpd.Exchange) {
	if err := r.inbox.Offer(x); err != nil {
		_ = x.Reply(http.StatusServiceUnavailable, nil, nil)
	}
}

// Disconnected implements httpd.Handler. The answer's write fails by itself.
func (r *Report) Disconnected(*httpd.Exchange) {}

// Close ends the duty.
func (r *Report) Close() {
	r.inbox.Close()
}

// Run is the report duty. It returns after Close.
func (r *Report) Run() error {
	for {
		x, err := r.inbox.Take()
		if err != nil {
			return nil
		}
		r.answer(x)
	}
}

func (r *Report) answer(x *httpd.Exchange) {
	switch x.Path {
	case "/healthz":
		_ = x.Reply(http.StatusOK, plain(), []byte("ok\n"))
	case "/metrics":
		r.metrics(x)
	case "/debug/state":
		r.state(x)
	default:
		_ = x.Reply(http.StatusNotFound, plain(), []byte("known: /healthz /metrics /debug/state\n"))
	}
}

func (r *Report) metrics(x *httpd.Exchange) {
	families, err := r.registry.Gather()
	if err != nil {
		_ = x.Reply(http.StatusInternalServerError, plain(), []byte(err.Error()+"\n"))
		return
	}
	var out bytes.Buffer
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	encoder := expfmt.NewEncoder(&out, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			_ = x.Reply(http.StatusInternalServerError, plain(), []byte(err.Error()+"\n"))
			return
		}
	}
	_ = x.Reply(http.StatusOK, http.Header{"Content-Type": {string(format)}}, out.Bytes())
}

func (r *Report) state(x *httpd.Exchange) {
	out, err := json.MarshalIndent(r.dump(), "", "  ")
	if err != nil {
		_ = x.Reply(http.StatusInternalServerError, plain(), []byte(err.Error()+"\n"))
		return
	}
	_ = x.Reply(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, append(out, '\n'))
}

func (r *Report) dump() Dump {
	d := Dump{
		Process:  r.process,
		Duties:   r.group.Status(),
		Sections: make(map[string]any, len(r.sources)),
		Missing:  []string{},
	}
	d.Process.PID = os.Getpid()
	d.Process.Threads = threadCount()
	d.Process.UptimeSeconds = int64(time.Since(r.started) / time.Second)
	for _, stats := range r.rings {
		d.Rings = append(d.Rings, stats())
	}
	r.collect(&d)
	return d
}

// collect asks all duties at once and waits for their sections.
func (r *Report) collect(d *Dump) {
	reply := ring.New[Section]("sections", len(r.sources)+1)
	for _, ask := range r.sources {
		// A duty that can't be asked is found missing below.
		_ = ask(reply)
	}
	limit := time.Now().Add(sectionWait)
	for len(d.Sections) < len(r.sources) {
		section, ok, err := reply.TakeUntil(time.Until(limit))
		if !ok || err != nil {
			break
		}
		d.Sections[section.Name] = section.State
	}
	for _, name := range r.names {
		if _, ok := d.Sections[name]; !ok {
			d.Missing = append(d.Missing, name)
		}
	}
}

func plain() http.Header {
	return http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
}

// threadCount returns the number of threads of this process, 0 if unknown.
func threadCount() int {
	entries, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return 0
	}
	return len(entries)
}
