package entry_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/standin/operator"
	"github.com/sycamorecourse/sycamorecourse/standin/replica"
)

const (
	// longAway is how long the store is away in drills in which gateways start: longer than
	// any time that counts from the start of a process.
	longAway = 2500 * time.Millisecond
	// serveTime is the time from the store's return within which a gateway that has started
	// meanwhile serves.
	serveTime = time.Second
	// settledTime is the time from the store's return after which records of all gateways
	// are in it.
	settledTime = 3 * time.Second
)

// moved is a route that is added, or leads to another service later.
func moved(service string) operator.Route {
	return operator.Route{
		Name: "moved", Host: "h.example", Prefix: "/moved/", Kind: operator.Idempotent, Service: service, MaxAttempts: 1, TimeoutMS: 1500, LatencyTargetMS: 300,
	}
}

// startInDrill begins a drill from a copy of an instant, ends a number of the gateways and
// starts as many anew while the store is away. It returns those once the store is back, restored
// so many times.
func (d *drillSite) startInDrill(copied clock.Instant, count int, era uint64, rewrite time.Duration) (started []*gateway) {
	d.startSlowDrill(copied, longAway, rewrite)
	for i := 1; i <= count; i++ {
		d.gateways[fmt.Sprintf("g%d", i)].close()
	}
	for i := 1; i <= count; i++ {
		g := d.startUnready(fmt.Sprintf("g%d", i))
		d.gateways[g.settings.Instance] = g
		started = append(started, g)
	}
	d.awaitBack(era)
	return started
}

// expectNewest expects that gateways serve within serveTime, by a configuration without the
// customer small and with the moved route at the service llm, and never by another one.
func expectNewest(started []*gateway) {
	back := time.Now()
	for time.Since(back) < settledTime {
		isLate := time.Since(back) > serveTime
		for _, g := range started {
			name := g.settings.Instance
			Expect(g.ask("POST", "/safe/x", "few", "b").status).NotTo(Equal(http.StatusOK), name+" serves a dropped key")
			Expect(g.ask("POST", "/moved/x", "key", "b").status).NotTo(Equal(http.StatusNotFound), name+" lacks a route")
			Expect(g.ask("POST", "/moved/x", "key", "b").body).NotTo(HavePrefix("ok"), name+" sends to the former service")
			if isLate {
				Expect(g.ask("POST", "/safe/x", "key", "b").status).To(Equal(http.StatusOK), name+" serves nothing")
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a gateway that starts on a store which went back and serves by an older
// configuration than the others use, or serves nothing until the operator has written again.
var _ = Describe("A gateway that starts while the store is away and comes back older (review/13)", func() {
	const rewriteLate = 8 * time.Second
	var d *drillSite
	var copied clock.Instant
	BeforeEach(func() {
		d = startDrillSite(true)
		d.configure(moved("app"))
		time.Sleep(knownTime)
		copied = d.now()
		d.version += 3
		d.configureFor([]operator.Customer{{Name: "acme", Credentials: []string{"key"}}}, moved("llm"))
		time.Sleep(knownTime)
	})

	for count := 1; count <= 3; count++ {
		It(fmt.Sprintf("takes the configuration of the others, %d of 4 started anew", count), func() {
			expectNewest(d.startInDrill(copied, count, 1, rewriteLate))
		})
	}

	It("serves by what the store has, at once, if all are started anew", func() {
		for _, g := range d.startInDrill(copied, 4, 1, rewriteLate) {
			Eventually(g.isReady, serveTime, "20ms").Should(BeTrue())
			Expect(g.ask("POST", "/safe/x", "few", "b").status).To(Or(Equal(http.StatusOK), Equal(http.StatusTooManyRequests)))
		}
	})

	It("takes a newer configuration of the restored store, and never one of before it", func() {
		started := d.startInDrill(copied, 2, 1, rewriteLate)
		d.configure(moved("app"))
		time.Sleep(knownTime)
		for end := time.Now().Add(settledTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, g := range started {
				Expect(g.ask("POST", "/moved/x", "key", "b").body).To(HavePrefix("ok"))
				Expect(g.ask("POST", "/safe/x", "few", "b").status).To(Or(Equal(http.StatusOK), Equal(http.StatusTooManyRequests)))
			}
		}
	})
})

// Guards against a gateway that starts on a store which went back and sends requests to
// upstreams that had left, though the other gateways know (review/14).
var _ = Describe("Upstreams that had left before a store was restored (review/14)", func() {
	for count := 1; count <= 3; count++ {
		It(fmt.Sprintf("get no request of gateways that start while it is away, %d of 4", count), func() {
			d := startDrillSite(true)
			d.upstream("app", replica.Config{ID: "b"})
			d.isUsed("b")
			copied := d.now()
			d.remove("b")
			time.Sleep(knownTime)
			started := d.startInDrill(copied, count, 1, 2*settledTime)
			served := time.Now().Add(serveTime)
			for time.Since(served) < settledTime {
				for _, g := range started {
					g.ask("POST", "/safe/x", "key", "b")
				}
				time.Sleep(20 * time.Millisecond)
			}
			Expect(d.late("b", served)).To(BeEmpty())
			Expect(d.late("a", served)).NotTo(BeEmpty())
		})
	}
})
