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

// sectionTimeout is how long a dump waits for the sections of the duties.
const sectionTimeout = time.Second

// inboxCapacity is the number of HTTP requests that may wait for the report
// duty.
const inboxCapacity = 64

// Report is the report duty, which answers GET /metrics, /debug/state and
// /healthz. It implements httpd.Handler. AddRing and AddSource must not be
// called after Run.
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

// New makes the report of a process. The process id, the number of threads and
// the uptime are filled in for each dump.
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

// AddRing adds a ring to the dump and the metrics.
func (r *Report) AddRing(stats func() ring.Stats) {
	r.rings = append(r.rings, stats)
}

// AddSource adds a section to the dump. The source must use name as the name
// of its Section.
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

// Disconnected implements httpd.Handler. It does nothing: writing the answer fails
// without effect.
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
		r.handle(x)
	}
}

func (r *Report) handle(x *httpd.Exchange) {
	switch x.Path {
	case "/healthz":
		_ = x.Reply(http.StatusOK, plainTextHeader(), []byte("ok\n"))
	case "/metrics":
		r.serveMetrics(x)
	case "/debug/state":
		r.serveState(x)
	default:
		_ = x.Reply(http.StatusNotFound, plainTextHeader(), []byte("known: /healthz /metrics /debug/state\n"))
	}
}

func (r *Report) serveMetrics(x *httpd.Exchange) {
	families, err := r.registry.Gather()
	if err != nil {
		_ = x.Reply(http.StatusInternalServerError, plainTextHeader(), []byte(err.Error()+"\n"))
		return
	}
	var out bytes.Buffer
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	encoder := expfmt.NewEncoder(&out, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			_ = x.Reply(http.StatusInternalServerError, plainTextHeader(), []byte(err.Error()+"\n"))
			return
		}
	}
	_ = x.Reply(http.StatusOK, http.Header{"Content-Type": {string(format)}}, out.Bytes())
}

func (r *Report) serveState(x *httpd.Exchange) {
	out, err := json.MarshalIndent(r.dump(), "", "  ")
	if err != nil {
		_ = x.Reply(http.StatusInternalServerError, plainTextHeader(), []byte(err.Error()+"\n"))
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

// collect requests the sections of all duties at once and waits for them until
// sectionTimeout.
func (r *Report) collect(d *Dump) {
	reply := ring.New[Section]("sections", len(r.sources)+1)
	for _, request := range r.sources {
		// If the request fails, the section is listed as missing below.
		_ = request(reply)
	}
	deadline := time.Now().Add(sectionTimeout)
	for len(d.Sections) < len(r.sources) {
		section, ok, err := reply.TakeUntil(time.Until(deadline))
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

func plainTextHeader() http.Header {
	return http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
}

// threadCount returns the number of operating system threads of this process;
// 0 if unknown.
func threadCount() int {
	entries, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return 0
	}
	return len(entries)
}
