package entry_test

import (
	"bytes"
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
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
	"github.com/sycamorecourse/sycamorecourse/standin/requester"
	"github.com/sycamorecourse/sycamorecourse/standin/rowstore"
)

// site is the stand-ins and the gateways of one spec.
type site struct {
	store    *rowstore.Store
	cloud    *duties.API
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
	s.register(service, config.ID, operator.Ready)
	return r
}

func (s *site) register(service, id string, state operator.UpstreamState) {
	s.write(operator.Upstream{
		ID: id, Service: service, Address: s.replicas[id].Address(), FailureDomain: "z", Slots: 4, State: state, Sequence: 1,
	}.Write)
}

// write lets the store's duty write.
func (s *site) write(do func(*rowstore.Store) error) {
	posted(s.store, func() { ExpectWithOffset(2, do(s.store)).To(Succeed()) })
}

// configure writes a configuration with the routes /stream/, /single/, /safe/,
// /once/ and the given ones.
func (s *site) configure(more ...operator.Route) {
	s.version += 3
	s.configureFor([]operator.Customer{
		{Name: "acme", Credentials: []string{"key"}}, {Name: "small", Credentials: []string{"few"}, Rate: 1, Burst: 2},
	}, more...)
}

// dropKey writes a configuration without the customer small.
func (s *site) dropKey() {
	s.version += 3
	s.configureFor([]operator.Customer{{Name: "acme", Credentials: []string{"key"}}})
}

func (s *site) configureFor(customers []operator.Customer, more ...operator.Route) {
	route := func(prefix string, kind operator.RouteKind, service string, attempts int, resumes bool) operator.Route {
		return operator.Route{
			Name: "r" + prefix, Host: "h.example", Prefix: prefix, Kind: kind, Service: service, MaxAttempts: attempts,
			Resumable: resumes, TimeoutMS: 1500, LatencyTargetMS: 300, GapTargetMS: 300,
		}
	}
	routes := []operator.Route{
		route("/stream/", operator.Streaming, "llm", 2, true),
		route("/single/", operator.Streaming, "llm", 1, false),
		route("/safe/", operator.Idempotent, "app", 2, false),
		route("/once/", operator.NonIdempotent, "app", 1, false),
	}
	s.write(operator.Configuration{
		Version: s.version, Routes: append(routes, more...),
		Services:  []operator.Service{{Name: "llm"}, {Name: "app"}},
		Limits:    operator.Limits{MaxHeaderBytes: 8000, MaxBodyBytes: 100000},
		Customers: customers,
	}.Write)
}

// gateway is a running entry role.
type gateway struct {
	settings *boot.Settings
	role     *entry.Entry
	ended    *thread.Thread
	log      *lines
	isClosed bool
}

// close ends the gateway's process, as far as others see.
func (g *gateway) close() {
	if !g.isClosed {
		g.isClosed = true
		Expect(g.role.Close()).To(Succeed())
	}
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
		KillTimeout: 8 * time.Second, PropagationLimit: 2 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second,
		LeaseTTL: 3 * time.Second, UsageWindow: 2 * time.Second, UsageReportLimit: 10 * time.Second, MaxAddressTTL: 5 * time.Second,
	}
	g := &gateway{settings: settings, log: &lines{text: ring.New[string]("lines", 1024)}}
	g.role = entry.New(settings, logs.New(g.log, zerolog.InfoLevel), "test")
	Expect(g.role.Open()).To(Succeed())
	g.ended = thread.Start("entry", g.role.Run)
	DeferCleanup(func() {
		g.role.Stop()
		g.role.Stop()
		_ = g.ended.Join()
		g.close()
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
	requester.RequestHeader{ID: fmt.Sprintf("%x", time.Now().UnixNano()), Credential: credential, Timeout: 4 * time.Second}.SetHeader(r.Header)
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
