package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/ring"
	"github.com/sycamorecourse/sycamorecourse/coord/thread"
	"github.com/sycamorecourse/sycamorecourse/daemon/report"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
)

// An unexpected error in the handling of one message must not take the process, and
// with it all other requests, down.
var _ = ginkgo.Describe("A duty whose message panics", func() {
	ginkgo.It("goes on with the next message", func() {
		d := &dispatcher{
			inbox:       ring.New[dispatchMessage]("dispatch", 16),
			cluster:     ring.New[clusterMessage]("cluster", 16),
			core:        relay.New(relay.Config{}),
			clock:       clock.System{},
			log:         zerolog.Nop(),
			metrics:     newMetrics(prometheus.NewRegistry()),
			usageCounts: make(map[int64]usage.Counts),
			containment: containment{duty: "dispatch", log: zerolog.Nop()},
		}
		t := thread.Start("dispatch", d.run)
		// The maps of the dispatcher are missing, so that each request panics.
		Expect(d.inbox.Offer(requestArrived{})).To(Succeed())
		reply := ring.New[report.Section]("reply", 1)
		Expect(d.inbox.Offer(dumpDispatch{reply: reply})).To(Succeed())
		section, ok, err := reply.TakeUntil(5 * time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(ok).To(BeTrue())
		Expect(section.Name).To(Equal("dispatch"))
		d.inbox.Close()
		Expect(t.Join()).To(Succeed())
	})

	ginkgo.It("gives up if that happens again and again, so that the process starts anew", func() {
		c := containment{duty: "x", log: zerolog.Nop()}
		now := clock.Instant(time.Hour)
		fail := func() { panic("odd") }
		for range maxPanics - 1 {
			Expect(c.run(nil, now, fail)).To(BeFalse())
		}
		Expect(func() { c.run(nil, now, fail) }).To(Panic())
		rare := containment{duty: "x", log: zerolog.Nop()}
		for range 3 * maxPanics {
			now = now.Add(panicWindow)
			Expect(rare.run(nil, now, fail)).To(BeFalse())
		}
	})
})
