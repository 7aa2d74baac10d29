package entry_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/standin/duties"
	"github.com/sycamorecourse/sycamorecourse/standin/host"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

var _ = Describe("The path of a request", func() {
	var s *site
	var g *gateway

	stream := func(n int) string {
		var b strings.Builder
		for i := 1; i <= n; i++ {
			b.WriteString("id: " + strconv.Itoa(i) + "\ndata: event " + strconv.Itoa(i) + "\n\n")
		}
		return b.String()
	}
	runs := func(r *replica.Replica) (list []replica.Run) {
		posted(r, func() { list = r.Runs() })
		return list
	}

	BeforeEach(func() {
		s = newSite()
		s.configure()
	})

	It("passes a stream event by event, with the receipt", func() {
		r := s.upstream("llm", replica.Config{ID: "a", Events: 20, Delay: time.Millisecond})
		g = s.start("g1")
		got := g.ask("POST", "/stream/x?y=1", "key", "prompt", "Token-Usage", "100,20", "Prompt-Prefix", "a1:60,b2:40")
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(stream(20)))
		Expect(got.header.Get("Response-Seal")).To(Equal("seal-a"))
		run := runs(r)[0]
		Expect(run.Header.Get("Tenant")).To(Equal("acme"))
		Expect(run.Header.Get("Expect-Instance")).To(Equal("a"))
		Expect(run.Header.Get("Token-Usage")).To(Equal("100,20"))
		Expect(run.Header).NotTo(HaveKey("Credential"))
		left, err := strconv.Atoi(run.Header.Get("Deadline-Ms"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(BeNumerically("<=", 1500))
		Expect(string(run.Body)).To(Equal("prompt"))
	})

	It("does not pass on what only this system may set", func() {
		r := s.upstream("app", replica.Config{ID: "a"})
		g = s.start("g1")
		got := g.ask("POST", "/once/x", "key", "b", "Tenant", "other", "Hold", "h", "Pin-Ms", "9", "Kv-From", "x", "Kv-Backup", "y", "Request-Priority", "0", "Connection", "X-Secret", "X-Secret", "1")
		Expect(got.status).To(Equal(http.StatusOK))
		run := runs(r)[0]
		Expect(run.Header.Get("Tenant")).To(Equal("acme"))
		for _, name := range []string{"Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Request-Priority", "X-Secret"} {
			Expect(run.Header).NotTo(HaveKey(name))
		}
	})

	It("refuses what has no route, no credential or is over its limit, as not run", func() {
		s.upstream("app", replica.Config{ID: "a"})
		g = s.start("g1")
		Expect(g.ask("GET", "/none/", "key", "").status).To(Equal(http.StatusNotFound))
		Expect(g.ask("GET", "/safe/", "wrong", "").status).To(Equal(http.StatusUnauthorized))
		statuses := []int{}
		// Ten may run in a window of 8 s.
		for range 15 {
			statuses = append(statuses, g.ask("GET", "/safe/", "few", "").status)
		}
		Expect(statuses).To(ContainElement(http.StatusTooManyRequests))
	})

	It("refuses what is larger than callers may send", func() {
		r := s.upstream("app", replica.Config{ID: "a"})
		g = s.start("g1")
		Expect(g.ask("POST", "/once/x", "key", strings.Repeat("b", 100001)).status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(g.ask("POST", "/once/x", "key", "b", "X-Long", strings.Repeat("h", 8000)).status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(g.ask("POST", "/once/x", "key", strings.Repeat("b", 100000)).status).To(Equal(http.StatusOK))
		Expect(runs(r)).To(HaveLen(1))
	})

	It("refuses a request without the fields that it needs", func() {
		g = s.start("g1")
		Expect(g.ask("POST", "/once/x", "key", "", "Deadline-Ms", "soon").status).To(Equal(http.StatusBadRequest))
		Expect(g.ask("POST", "/stream/x", "key", "", "Token-Usage", "many").status).To(Equal(http.StatusBadRequest))
	})

	It("goes on with a stream that may be resumed, without a gap or a repetition", func() {
		a := s.upstream("llm", replica.Config{ID: "a", Events: 20, BreakAfter: 7, Delay: time.Millisecond})
		b := s.upstream("llm", replica.Config{ID: "b", Events: 20, BreakAfter: 7, Delay: time.Millisecond})
		g = s.start("g1")
		posted(a, func() {})
		got := g.ask("POST", "/stream/x", "key", "prompt")
		all := append(runs(a), runs(b)...)
		Expect(all).To(HaveLen(2))
		// Seven events of the first, then those after it up to its own break.
		Expect(got.body).To(HavePrefix(stream(7)))
		Expect(strings.Count(got.body, "event 8\n")).To(BeNumerically("<=", 1))
	})

	It("cuts a stream that may not be resumed where its upstream broke off", func() {
		s.upstream("llm", replica.Config{ID: "a", Events: 20, BreakAfter: 7, Delay: time.Millisecond})
		s.upstream("llm", replica.Config{ID: "b", Events: 20, BreakAfter: 7, Delay: time.Millisecond})
		g = s.start("g1")
		got := g.ask("POST", "/single/x", "key", "prompt")
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal(stream(7)))
	})

	It("runs a call that may not be repeated once, and does not claim that it has not run", func() {
		a := s.upstream("app", replica.Config{ID: "a", DropResponses: true})
		b := s.upstream("app", replica.Config{ID: "b", DropResponses: true})
		g = s.start("g1")
		got := g.ask("POST", "/once/x", "key", "booking")
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(append(runs(a), runs(b)...)).To(HaveLen(1))
	})

	It("sends a call that was refused as not run to another upstream, and refuses it where all are full", func() {
		a := s.upstream("app", replica.Config{ID: "a", RejectAll: true})
		s.upstream("app", replica.Config{ID: "b"})
		g = s.start("g1")
		for range 4 {
			Expect(g.ask("POST", "/once/x", "key", "booking").status).To(Equal(http.StatusOK))
		}
		Expect(runs(a)).To(BeEmpty())
		posted(s.replicas["b"], func() { s.replicas["b"].UpdateConfig(func(c *replica.Config) { c.RejectAll = true }) })
		got := g.ask("POST", "/once/x", "key", "booking")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("does not let another upstream at a used address run a request", func() {
		r := s.upstream("app", replica.Config{ID: "a"})
		s.replicas["former"] = r
		s.register("app", "former", operator.Ready)
		posted(s.store, func() { operator.RemoveUpstream(s.store, "a") })
		g = s.start("g1")
		Expect(g.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(r)).To(BeEmpty())
	})

	It("tries an idempotent call again after a server error, and gives the error where that fails too", func() {
		s.upstream("app", replica.Config{ID: "a", FailStatus: 500})
		s.upstream("app", replica.Config{ID: "b", FailStatus: 500})
		g = s.start("g1")
		got := g.ask("GET", "/safe/x", "key", "")
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.body).To(Equal("failed"))
		Expect(len(runs(s.replicas["a"])) + len(runs(s.replicas["b"]))).To(Equal(2))
	})

	It("answers at the time limit of the route", func() {
		s.upstream("app", replica.Config{ID: "a", NeverRespond: true})
		g = s.start("g1")
		start := time.Now()
		Expect(g.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(start)).To(BeNumerically(">=", 1400*time.Millisecond))
	})

	It("ends the work at an upstream when the caller goes", func() {
		r := s.upstream("llm", replica.Config{ID: "a", Events: 1000, Delay: 5 * time.Millisecond})
		g = s.start("g1")
		conn, err := net.Dial("tcp", g.settings.CallerAddress)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST /single/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nCredential: key\r\nContent-Length: 1\r\n\r\nx")
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		left := func() (n int) {
			posted(r, func() { n = r.CallersGone() })
			return n
		}
		Eventually(left, "10s", "10ms").Should(Equal(1))
	})

	It("sends nothing to an upstream that leaves", func() {
		a := s.upstream("app", replica.Config{ID: "a"})
		s.upstream("app", replica.Config{ID: "b"})
		g = s.start("g1")
		s.register("app", "a", operator.Draining)
		served := func() bool {
			before := len(runs(a))
			for range 6 {
				Expect(g.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusOK))
			}
			return len(runs(a)) > before
		}
		Eventually(served, "5s", "10ms").Should(BeFalse())
	})

	It("sends nothing to an upstream that says in an answer that it is leaving, at any gateway", func() {
		a := s.upstream("app", replica.Config{ID: "a", Draining: true})
		g = s.start("g1")
		other := s.start("g2")
		Expect(g.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusOK))
		s.upstream("app", replica.Config{ID: "b"})
		Eventually(func() int { return g.ask("POST", "/once/x", "key", "b").status }, "5s", "20ms").Should(Equal(http.StatusOK))
		// The other gateway learns it from the first one, and not from the store.
		time.Sleep(2500 * time.Millisecond)
		before := len(runs(a))
		for range 15 {
			Expect(g.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusOK))
			Expect(other.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusOK))
		}
		Expect(runs(a)).To(HaveLen(before))
		Expect(before).To(Equal(1))
	})

	It("sends nothing to an upstream that asks for a pause, and tells callers when to return", func() {
		a := s.upstream("app", replica.Config{ID: "a", RejectAll: true, RetryAfter: "1.5"})
		g = s.start("g1")
		Expect(g.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusServiceUnavailable))
		posted(a, func() { a.UpdateConfig(func(c *replica.Config) { c.RejectAll = false }) })
		began := time.Now()
		for time.Since(began) < 1300*time.Millisecond {
			got := g.ask("POST", "/once/x", "key", "b")
			Expect(got.status).To(Equal(http.StatusServiceUnavailable))
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(wait).To(BeNumerically("<=", 2))
		}
		Expect(runs(a)).To(BeEmpty())
		Eventually(func() int { return g.ask("POST", "/once/x", "key", "b").status }, "3s", "50ms").Should(Equal(http.StatusOK))
	})

	It("follows configurations, also over a history that was forgotten, and never goes back", func() {
		s.upstream("app", replica.Config{ID: "a"})
		g = s.start("g1")
		Expect(g.ask("GET", "/new/x", "key", "").status).To(Equal(http.StatusNotFound))
		posted(s.store, s.store.TruncateHistory)
		s.configure(operator.Route{
			Name: "new", Host: "h.example", Prefix: "/new/", Kind: operator.Idempotent, Service: "app", MaxAttempts: 1,
			TimeoutMS: 1000, LatencyTargetMS: 100,
		})
		status := func() int { return g.ask("GET", "/new/x", "key", "").status }
		Eventually(status, "5s", "10ms").Should(Equal(http.StatusOK))
		posted(s.store, func() { operator.WriteRawConfiguration(s.store, []byte(`{"version":1,"routes":[]}`)) })
		posted(s.store, func() { operator.WriteRawConfiguration(s.store, []byte(`not json`)) })
		Consistently(status, "1s", "100ms").Should(Equal(http.StatusOK))
	})

	It("leaves out rows that it can't use", func() {
		s.upstream("app", replica.Config{ID: "a"})
		posted(s.store, func() {
			operator.WriteRawUpstream(s.store, "x", []byte(`{"service":7}`))
			operator.WriteRawUpstream(s.store, "y", []byte{0xff, 0x00})
			operator.WriteRawUpstream(s.store, "z", []byte(`{"service":"app","address":"nowhere","slots":4,"state":"ready"}`))
			s.store.Put("gateways", "odd", []byte("odd"))
		})
		g = s.start("g1")
		for range 6 {
			Expect(g.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusOK))
		}
	})

	// Guards against an entry of another writer that ends the processes which read the
	// list, or keeps them from following it.
	It("goes on following the list after entries that no upstream writes", func() {
		a := s.upstream("app", replica.Config{ID: "a"})
		g = s.start("g1")
		odd := func(key, value string) {
			posted(s.store, func() { operator.WriteRawUpstream(s.store, key, []byte(value)) })
		}
		odd("nested", `{"service":"app","address":"127.0.0.1:9","slots":4,"state":"ready","x":`+strings.Repeat("[", 40000))
		odd("nested2", `{"service":"app","address":"127.0.0.1:9","slots":4,"state":"ready","x":`+strings.Repeat("[", 20000)+strings.Repeat("]", 20000)+`}`)
		odd("large", `{"service":"app","address":"127.0.0.1:9","slots":1e300,"state":"ready","born":1e300}`)
		odd("huge", `{"service":"app","address":"127.0.0.1:9","slots":1e999,"state":"ready"}`)
		odd("port", `{"service":"app","address":"127.0.0.1:99999","slots":4,"state":"ready"}`)
		odd("port0", `{"service":"app","address":"127.0.0.1:0","slots":4,"state":"ready"}`)
		odd("line\r\nTenant: other", `{"service":"app","address":"`+a.Address()+`","slots":4,"state":"ready"}`)
		s.upstream("app", replica.Config{ID: "b"})
		Eventually(func() int {
			g.ask("POST", "/once/x", "key", "x")
			return len(runs(s.replicas["b"]))
		}, "5s", "20ms").Should(BeNumerically(">", 0))
		for range 20 {
			Expect(g.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusOK))
		}
		Expect(g.isReady()).To(BeTrue())
	})

	It("answers 503 and is not ready while it knows no configuration", func() {
		hosttest.SetFaults(s.store.Address(), host.Faults{Down: true})
		g = s.startUnready("g1")
		Consistently(g.isReady, "500ms", "50ms").Should(BeFalse())
		Expect(g.ask("GET", "/safe/x", "key", "").status).To(Equal(http.StatusServiceUnavailable))
	})

	It("tells callers of all ready gateways", func() {
		g = s.start("g1")
		other := s.start("g2")
		addresses := func() []string {
			res, err := http.Get("http://" + g.settings.DirectoryAddress + "/-/resolve?name=h.example&zone=z&region=r")
			if err != nil {
				return nil
			}
			defer func() { _ = res.Body.Close() }()
			var list struct {
				Addrs []string `json:"addrs"`
				TTL   float64  `json:"ttl_s"`
			}
			if json.NewDecoder(res.Body).Decode(&list) != nil || list.TTL <= 0 || list.TTL > 5 {
				return nil
			}
			return list.Addrs
		}
		Eventually(addresses, "10s", "50ms").Should(ConsistOf(g.settings.CallerAddress, other.settings.CallerAddress))
		other.role.Stop()
		Eventually(addresses, "10s", "50ms").Should(ConsistOf(g.settings.CallerAddress))
		Expect(other.isReady()).To(BeFalse())
	})

	It("reports each usage window once, with what ran at all gateways", func() {
		s.upstream("app", replica.Config{ID: "a"})
		first, second := s.start("g1"), s.start("g2")
		for range 5 {
			Expect(first.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusOK))
			Expect(second.ask("POST", "/once/x", "key", "b").status).To(Equal(http.StatusOK))
		}
		total := func() uint64 {
			var reports []duties.UsageReport
			posted(s.cloud, func() { reports = s.cloud.Reports() })
			seen := make(map[int64]map[string]uint64)
			var sum uint64
			for _, r := range reports {
				if counts, ok := seen[r.Window]; ok {
					Expect(r.Counts).To(Equal(counts))
					continue
				}
				seen[r.Window] = r.Counts
				sum += r.Counts["acme"]
			}
			return sum
		}
		Eventually(total, "20s", "100ms").Should(Equal(uint64(10)))
	})

	It("finishes what is open when it is stopped, and refuses nothing that comes in the meantime", func() {
		s.upstream("llm", replica.Config{ID: "a", Events: 40, Delay: 20 * time.Millisecond})
		g = s.start("g1")
		answers := together(g, 3)
		time.Sleep(100 * time.Millisecond)
		g.role.Stop()
		Expect(g.ask("POST", "/single/x", "key", "late").status).To(Equal(http.StatusOK))
		for range 3 {
			got := answers()
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(Equal(stream(40)))
		}
		Expect(g.ended.Join()).To(Succeed())
	})
})

var _ = Describe("The settings file", func() {
	It("is read again when asked and when it changes, and a broken one changes nothing", func() {
		s := newSite()
		s.configure()
		path := filepath.Join(GinkgoT().TempDir(), "boot.toml")
		Expect(os.WriteFile(path, []byte("node = \"a\""), 0o600)).To(Succeed())
		g := s.startWith("g1", path)
		Eventually(g.isReady, "15s", "20ms").Should(BeTrue())
		g.role.Reload()
		Eventually(g.logged, "5s", "20ms").Should(ContainSubstring("event=settings_invalid"))
		Expect(os.WriteFile(path, []byte("node = \"a\"\n[listen]\nfront=\"a\"\nready=\"b\"\ndirectory=\"c\"\n[platform]\naddress=\"d\"\n"), 0o600)).To(Succeed())
		Eventually(g.logged, "10s", "50ms").Should(ContainSubstring("event=settings_reloaded changed=true"))
		Expect(g.isReady()).To(BeTrue())
	})
})
