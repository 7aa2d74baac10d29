package entry

import (
	"fmt"
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
)

// Guards against a configuration that another gateway hands over and that is used unchecked, or
// is taken back by what a restored store has (review/13).
var _ = ginkgo.Describe("watch of a configuration that another gateway hands over", func() {
	start := clock.Instant(time.Hour)
	value := func(version int) []byte { return fmt.Appendf(nil, `{"version":%d}`, version) }
	var w *watch
	ginkgo.BeforeEach(func() {
		w = newWatch("g")
		w.propagationLimit, w.log, w.metrics = 2*time.Second, zerolog.Nop(), newMetrics(prometheus.NewRegistry())
		w.dispatch, w.cluster = ring.New[dispatchMessage]("dispatch", 64), ring.New[clusterMessage]("cluster", 64)
		w.peers = ring.New[peerMessage]("peers", 64)
	})
	read := func(timeline, version uint64, config int) {
		w.tables[served.ConfigTable].calling = true
		p := rows.Page{Timeline: timeline, Version: version, Rows: []rows.Row{{Key: row.Key{Sort: served.ConfigKey}, Value: value(config), Version: version}}}
		w.handle(watchMessage{table: served.ConfigTable, page: p, isList: true}, start)
		w.publish(start)
	}
	handOver := func(told uint64, handed []byte) {
		reply := exchange.CatchUpReply{Config: told, Timeline: 1, Value: handed}
		w.handle(watchMessage{caughtUp: &caughtUp{instance: "other", timeline: 2, reply: reply}}, start)
		w.publish(start)
	}
	// published returns the versions that dispatch was given since the last time.
	published := func() (versions []uint64) {
		for {
			m, ok, err := w.dispatch.TakeUntil(0)
			Expect(err).NotTo(HaveOccurred())
			if !ok {
				return versions
			}
			if m, isCatalog := m.(setCatalog); isCatalog {
				versions = append(versions, m.catalog.Version)
			}
		}
	}
	know := func() {
		w.handle(watchMessage{gateways: []exchange.Peer{{Instance: "other", IsLive: true}}, gatewaysTimeline: 2}, start)
		w.publish(start)
	}

	ginkgo.It("uses it in place of the one that the restored store has", func() {
		read(2, 20, 7)
		know()
		Expect(published()).To(BeEmpty())
		handOver(9, value(9))
		Expect(published()).To(Equal([]uint64{9}))
		Expect(w.config.source).To(Equal("other"))
		handOver(8, value(8))
		read(2, 21, 7)
		Expect(published()).To(BeEmpty())
		read(2, 22, 10)
		Expect(published()).To(Equal([]uint64{10}))
	})

	ginkgo.It("uses it as a process that had missed it before the store was restored", func() {
		read(1, 30, 7)
		read(2, 20, 7)
		Expect(published()).To(Equal([]uint64{7}))
		handOver(9, value(9))
		Expect(published()).To(Equal([]uint64{9}))
	})

	ginkgo.It("does not use one that is malformed, or another version than it is told to be", func() {
		read(2, 20, 7)
		know()
		handOver(9, []byte("{"))
		handOver(9, value(8))
		Expect(published()).To(BeEmpty())
		Expect(w.config.Version).To(BeEquivalentTo(7))
	})
})
