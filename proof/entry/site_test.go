package entry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/entry"
	"github.com/sycamorecourse/sycamorecourse/edge/logs"
	"github.com/sycamorecourse/sycamorecourse/platform/boot"
	"github.com/sycamorecourse/sycamorecourse/standin/duties"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

// site is the stand-ins and the gateways of one spec.
type site struct {
	store    *rowstore.Store
	cloud    *duties.Duties
	replicas map[string]*replica.Replica
	version  int
}

// posted runs f on the duty of a stand-in and waits for it.
func posted(d interface{ Post(func()) error }, f func()) {
	done := ring.New[bool]("posted", 1)
	ExpectWithOffset(1, d.Post(func() {
		f()
		_ = done.Offer(true)
	})).To(Succeed())
	_, ok, err := done.TakeUntil(10 * time.Second)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, ok).To(BeTrue())
}

func newSite() *site {
	s := &site{store: rowstore.New("127.0.0.1:0"), cloud: duties.New("127.0.0.1:0"), replicas: make(map[string]*replica.Replica)}
	Expect(s.store.Open()).To(Succeed())
	hosttest.Start(s.store)
	Expect(s.cloud.Open()).To(Succeed())
	hosttest.Start(s.cloud)
	return s
}

// upstream starts a replica of a service and registers it.
func (s *site) upstream(service string, config replica.Config) *replica.Replica {
	config.Address = "127.0.0.1:0"
	r := replica.New(config)
	Expect(r.Open()).To(Succeed())
	hosttest.Start(r)
	s.replicas[config.ID] = r
	s.register(service, config.ID, "ready")
	return r
}

func (s *site) register(service, id, state string) {
	value, err := json.Marshal(map[string]any{
		"service": service, "address": s.replicas[id].Address(), "zone": "z", "slots": 4, "state": state, "sequence": 1,
	})
	Expect(err).NotTo(HaveOccurred())
	posted(s.store, func() { s.store.Put("servers", id, value) })
}

// configure writes a configuration with the routes /stream/, /safe/, /once/ and
// the given ones.
func (s *site) configure(more ...map[string]any) {
	s.version += 3
	route := func(prefix, kind, service string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "hostname": "h.example", "prefix": prefix, "route_type": kind, "timeout_ms": 1500,
			"target_latency_ms": 300, "service": service, "attempts": attempts, "stream_resume": resume, "gap_target_ms": 300,
		}
	}
	routes := []map[string]any{
		route("/stream/", "streaming", "llm", 2, true),
		route("/single/", "streaming", "llm", 1, false),
		route("/safe/", "idempotent", "app", 2, false),
		route("/once/", "non_idempotent", "app", 1, false),
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version, "routes": append(routes, more...),
		"services": []map[string]any{{"name": "llm"}, {"name": "app"}},
		"limits":   map[string]any{"max_header_bytes": 8000, "max_body_bytes": 100000},
		"tenants":  []map[string]any{{"name": "acme", "api_keys": []string{"key"}}, {"name": "small", "api_keys": []string{"few"}, "rate_per_s": 1, "burst": 2}},
	})
	Expect(err).NotTo(HaveOccurred())
	posted(s.store, func() { s.store.Put("op", "config", value) })
}

// gateway is a running entry role.
type gateway struct {
	settings *boot.Settings
	role     *entry.Entry
	ended    *thread.Thread
	log      *lines
}

// lines keeps what a process has logged.
type lines struct {
	text *ring.Ring[string]
}

func (l *lines) Write(p []byte) (int, error) {
	_ = l.text.Offer(string(p))
	return len(p), nil
}

// logged returns the next line of the log.
func (g *gateway) logged() string {
	line, _, err := g.log.text.TakeUntil(0)
	Expect(err).NotTo(HaveOccurred())
	return line
}

// lastHost numbers the loopback addresses given out by free.
var lastHost int

// free returns an address that nothing else listens on: each has a loopback
// address of its own, so that no other connection takes its port meanwhile.
func free() string {
	lastHost++
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 9+lastHost/250, 1+lastHost%250))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// start starts an entry role and waits until it is ready.
func (s *site) start(name string) *gateway {
	g := s.startUnready(name)
	Eventually(g.isReady, "15s", "20ms").Should(BeTrue())
	return g
}

func (s *site) startUnready(name string) *gateway {
	return s.startWith(name, "")
}

// startWith starts an entry role with the path of a settings file.
func (s *site) startWith(name, path string) *gateway {
	settings := &boot.Settings{
		Path: path, Instance: name, FailureDomain: "z", Region: "r",
		CallerAddress: free(), ReadyAddress: free(), DirectoryAddress: free(), AdminAddress: free(),
		StoreAddress: s.store.Address(), CloudAddress: s.cloud.Address(), ReportsUsage: true,
		StopLimit: 8 * time.Second, NewsLimit: 2 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
		LeaseTime: 3 * time.Second, UsageWindow: 2 * time.Second, UsageLimit: 10 * time.Second, AddressKeep: 5 * time.Second,
	}
	g := &gateway{settings: settings, log: &lines{text: ring.New[string]("lines", 1024)}}
	g.role = entry.New(settings, logs.New(g.log, zerolog.InfoLevel), "test")
	Expect(g.role.Open()).To(Succeed())
	g.ended = thread.Start("entry", g.role.Run)
	DeferCleanup(func() {
		g.role.Stop()
		g.role.Stop()
		_ = g.ended.Join()
		Expect(g.role.Close()).To(Succeed())
	})
	return g
}

func (g *gateway) isReady() bool {
	res, err := http.Get("http://" + g.settings.ReadyAddress + "/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends a request over a connection of its own.
func (g *gateway) ask(method, path, credential, body string, fields ...string) reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	r, err := http.NewRequest(method, "http://"+g.settings.CallerAddress+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h.example"
	r.Header.Set("Attempt-Id", fmt.Sprintf("%x", time.Now().UnixNano()))
	r.Header.Set("Deadline-Ms", "4000")
	r.Header.Set("Credential", credential)
	for i := 0; i < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	res, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(text), err: err}
}
