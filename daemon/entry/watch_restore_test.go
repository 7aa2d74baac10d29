package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/platform/served"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/rollout"
)

const (
	rolledService = "llm"
	// rolloutOrder is an order's row, for a roll-out of 40 s.
	rolloutOrder = `{"service":"llm","to":"v2","duration_s":40}`
)

var _ = ginkgo.Describe("watch of the orders of roll-outs when the store is restored from an older copy", func() {
	start := clock.Instant(time.Hour)
	var w *watch
	var t *watchedTable
	ginkgo.BeforeEach(func() {
		w = newWatch("g")
		w.propagationLimit, w.log, w.metrics = 2*time.Second, zerolog.Nop(), newMetrics(prometheus.NewRegistry())
		w.dispatch, w.cluster = ring.New[dispatchMessage]("dispatch", 64), ring.New[clusterMessage]("cluster", 64)
		w.peers = ring.New[peerMessage]("peers", 64)
		t = w.tables[served.ConfigTable]
	})
	page := func(timeline, version uint64, orders ...uint64) rows.Page {
		p := rows.Page{Timeline: timeline, Version: version}
		for _, v := range orders {
			p.Rows = append(p.Rows, rows.Row{Key: row.Key{Sort: served.RolloutPrefix + rolledService}, Value: []byte(rolloutOrder), Version: v})
		}
		return p
	}
	// readSince reads what a call returned that asked for changes after a version.
	readSince := func(since uint64, p rows.Page, isList bool) {
		t.calling, t.calledSince = true, since
		w.handle(watchMessage{table: served.ConfigTable, page: p, isList: isList}, start)
		w.publish(start)
	}
	read := func(p rows.Page, isList bool) { readSince(t.cursor.Position().Version, p, isList) }
	news := func(u exchange.TableUpdate) {
		w.handle(watchMessage{updates: []exchange.TableUpdate{u}, sentAt: start}, start)
		w.publish(start)
	}
	// published returns the revision of the order that the cluster duty knows; 0 for none.
	published := func() (revision uint64) {
		for {
			m, ok, err := w.cluster.TakeUntil(0)
			Expect(err).NotTo(HaveOccurred())
			if !ok {
				return revision
			}
			if m, isOrders := m.(setRollouts); isOrders {
				revision = m.orders[rolledService].Revision
			}
		}
	}

	// Guards against gateways that know an order by different numbers, and then send
	// nothing to its version: one of them has read only what has changed.
	ginkgo.It("reads all orders in a new timeline, also while the versions are lower", func() {
		read(page(1, 50, 40), true)
		Expect(published()).To(Equal(rollout.Revision(1, 40)))
		// Feeds go on if the versions have passed the last one meanwhile.
		read(page(2, 52), false)
		Expect(published()).To(BeZero())
		Expect(w.callDue(t)).To(BeNumerically("<=", start))
		Expect(t.needsList).To(BeTrue())
		read(page(2, 45, 40), true)
		Expect(published()).To(Equal(rollout.Revision(2, 40)))
		Expect(t.needsList).To(BeFalse())
		// What was written between the two versions has not been read.
		readSince(52, page(2, 55), false)
		Expect(t.needsList).To(BeTrue())
	})

	// Guards against the same by the news of a hub, which may be in another timeline.
	ginkgo.It("takes no orders of another timeline from a hub", func() {
		hub := exchange.NewTableCopy(served.ConfigTable)
		first := exchange.Position{Timeline: 1, Version: 50}
		hub.Apply(updateOf(served.ConfigTable, page(1, 50, 40), spanOf(page(1, 50), true, 0)), start)
		news(hub.Since(exchange.Position{}, start))
		Expect(published()).To(Equal(rollout.Revision(1, 40)))
		changed := updateOf(served.ConfigTable, page(2, 60, 55), spanOf(page(2, 60), false, 50))
		// Neither the hub nor a gateway takes changes of another timeline over.
		Expect(hub.Apply(changed, start)).To(Equal(exchange.Gap))
		Expect(hub.Since(first, start).Entries).To(BeEmpty())
		news(changed)
		Expect(published()).To(BeZero())
		Expect(t.needsList).To(BeTrue())
		hub.Apply(updateOf(served.ConfigTable, page(2, 61, 55), spanOf(page(2, 61), true, 0)), start)
		news(hub.Since(first, start))
		Expect(published()).To(Equal(rollout.Revision(2, 55)))
		Expect(t.needsList).To(BeFalse())
	})

	// Guards against a roll-out that ends since its order is lost for a moment, and one that
	// never ends since its order is not written again.
	ginkgo.It("keeps a lost order for a time", func() {
		read(page(1, 50, 40), true)
		read(page(2, 30), true)
		Expect(w.rollouts.Orders()).To(HaveLen(1))
		w.publish(start.Add(rollout.RestoreGrace))
		Expect(w.rollouts.Orders()).To(BeEmpty())
	})
})
