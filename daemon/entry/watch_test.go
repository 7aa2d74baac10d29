package entry

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
)

// Guards against gateways that rely on a hub which is itself cut off from the store:
// what it tells may be old, however often it tells it.
var _ = ginkgo.Describe("watch of a table by the news of a hub", func() {
	const limit = 2 * time.Second
	start := clock.Instant(time.Hour)

	ginkgo.It("calls the store in time after the hub last knew, not after its last news", func() {
		w := newWatch("g")
		w.metrics = newMetrics(prometheus.NewRegistry())
		w.propagationLimit = limit
		w.dispatch = ring.New[dispatchMessage]("dispatch", 64)
		t := w.tables[served.UpstreamTable]
		for age := time.Duration(0); age <= 1500*time.Millisecond; age += 500 * time.Millisecond {
			sentAt := start.Add(age)
			news := exchange.TableUpdate{Table: served.UpstreamTable, Version: 7, Full: true, Available: true, Age: age}
			w.handle(watchMessage{updates: []exchange.TableUpdate{news}, sentAt: sentAt}, sentAt.Add(20*time.Millisecond))
			Expect(w.callDue(t).Sub(start)).To(BeNumerically("<=", limit*3/4))
			// It goes on without calls while the hub follows the store.
			Expect(w.callDue(t).Sub(start)).To(BeNumerically(">=", limit/2))
		}
	})

	ginkgo.It("as a hub tells no later time than the store can have answered", func() {
		w := newWatch("g")
		w.metrics = newMetrics(prometheus.NewRegistry())
		w.propagationLimit, w.isHub = limit, true
		w.dispatch = ring.New[dispatchMessage]("dispatch", 64)
		w.peers = ring.New[peerMessage]("peers", 64)
		t := w.tables[served.UpstreamTable]
		t.cursor.Accept(exchange.Span{End: exchange.Position{Version: 7}, IsList: true})
		t.needsList, t.calling, t.calledAt = false, true, start
		// The process was suspended while the response waited to be read.
		w.handle(watchMessage{table: served.UpstreamTable, page: rows.Page{Version: 7}}, start.Add(4*time.Second))
		m, err := w.peers.Take()
		Expect(err).NotTo(HaveOccurred())
		Expect(m.(tableRead).confirmedAt.Sub(start)).To(BeNumerically("<=", limit/2))
	})

	ginkgo.It("as a hub dates a response that waited in its link by the store's clock", func() {
		w := newWatch("g")
		w.metrics = newMetrics(prometheus.NewRegistry())
		w.propagationLimit, w.isHub = limit, true
		w.dispatch = ring.New[dispatchMessage]("dispatch", 64)
		w.peers = ring.New[peerMessage]("peers", 64)
		t := w.tables[served.UpstreamTable]
		respond := func(called, sent, arrived time.Duration) time.Duration {
			t.cursor.Accept(exchange.Span{End: exchange.Position{Version: 7}, IsList: true})
			t.needsList, t.calling, t.calledAt, t.heldFor = false, true, start.Add(called), w.feedWait()
			page := rows.Page{Version: 7, Clock: time.Minute + sent}
			w.handle(watchMessage{table: served.UpstreamTable, page: page}, start.Add(arrived))
			m, err := w.peers.Take()
			Expect(err).NotTo(HaveOccurred())
			return m.(tableRead).confirmedAt.Sub(start)
		}
		Expect(respond(0, 50*time.Millisecond, 54*time.Millisecond)).To(Equal(54 * time.Millisecond))
		Expect(respond(time.Second, 1050*time.Millisecond, 1700*time.Millisecond)).To(Equal(1054 * time.Millisecond))
	})
})

// After a restart of all gateways each of them reads whole tables at the same time.
var _ = ginkgo.Describe("watch of a store that is asked for more than it allows", func() {
	throttled := &row.UnavailableError{Err: &rows.StatusError{Status: http.StatusTooManyRequests}}

	ginkgo.It("spreads the calls of many gateways over longer and longer times", func() {
		const gateways, window = 300, 150 * time.Millisecond
		busiest := func(failures int) int {
			calls := make(map[time.Duration]int)
			most := 0
			for range gateways {
				w, t := newWatch("g"), &watchedTable{}
				delay := time.Duration(0)
				for range failures {
					delay = w.retryDelay(t, throttled)
				}
				Expect(delay).To(BeNumerically("<=", watchRetryDelay+maxThrottleDelay))
				calls[delay/window]++
				most = max(most, calls[delay/window])
			}
			return most
		}
		Expect(busiest(5)).To(BeNumerically("<", gateways/5))
	})

	ginkgo.It("comes back soon after other failures", func() {
		w, t := newWatch("g"), &watchedTable{}
		Expect(w.retryDelay(t, &row.UnavailableError{Err: &rows.StatusError{Status: http.StatusServiceUnavailable}})).To(Equal(watchRetryDelay))
		w.retryDelay(t, throttled)
		Expect(t.throttled).To(Equal(1))
	})
})
