package entry

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sycamorecourse/sycamorecourse/platform/cloud"
	"github.com/sycamorecourse/sycamorecourse/platform/rows"
	"github.com/sycamorecourse/sycamorecourse/serving/scale"
	"github.com/sycamorecourse/sycamorecourse/serving/usage"
	"github.com/sycamorecourse/sycamorecourse/standin/duties"
	"github.com/sycamorecourse/sycamorecourse/standin/hosttest"
)

var _ = ginkgo.Describe("A holder of the duties", func() {
	const window = int64(1_000_000)
	var b *rolloutBed
	var g *rolloutGateway
	var c *coordinator
	var fence uint64

	ginkgo.BeforeEach(func() {
		api := duties.New("127.0.0.1:0")
		Expect(api.Open()).To(Succeed())
		hosttest.Start(api)
		b = newRolloutBed()
		g = b.start("g1")
		c = g.holder
		c.metrics = newMetrics(prometheus.NewRegistry())
		c.planner = scale.NewPlanner()
		c.cloud = cloud.New(api.Address(), time.Second, hosttest.StartClient())
		c.usageReports = usageReports{
			reportsUsage: true, reporter: usage.NewReporter(5*time.Second, usageSettleTime, 10*time.Second),
			ledger: usage.NewLedger(5*time.Second, usageSettleTime),
		}
		g.hold(b.now)
		var err error
		fence, err = c.lease.Fence(b.now)
		Expect(err).NotTo(HaveOccurred())
	})
	// countsOf is what was read back of a window in a timeline of the store.
	countsOf := func(timeline uint64) countsRead {
		value, err := cbor.Marshal(map[string]uint64{"acme": 60})
		Expect(err).NotTo(HaveOccurred())
		page := rows.Page{Timeline: timeline, Rows: []rows.Row{{Key: usageKey(window), Value: value}}}
		return countsRead{window: window, page: page}
	}

	// Guards against two reports of a window with different counts, the second by a holder
	// that had asked its ledger before the store came back from an older copy.
	ginkgo.It("does not report counts that it reads back in another timeline than it has asked its ledger for", func() {
		c.timelineAge.observe(1, b.now)
		c.doubtKnownFor, c.reporting = 1, true
		c.timelineAge.observe(2, b.now)
		c.handleCountsRead(countsOf(2), b.now)
		Expect(c.reporting).To(BeFalse())
	})

	ginkgo.It("reports counts that it reads back in the timeline that it has asked for", func() {
		c.timelineAge.observe(1, b.now)
		c.doubtKnownFor, c.reporting = 1, true
		c.handleCountsRead(countsOf(1), b.now)
		Expect(c.reporting).To(BeTrue())
	})

	// Guards against limits that are used twice, by a gateway whose next start reads a record
	// from before the store was restored.
	ginkgo.It("writes its record again soon after the store was restored", func() {
		c.lastHeartbeat, c.heartbeatAt = b.now, b.now.Add(peerHeartbeatInterval)
		c.observeTimeline(1, b.now)
		Expect(c.heartbeatAt).To(Equal(b.now.Add(peerHeartbeatInterval)))
		c.observeTimeline(2, b.now)
		Expect(c.heartbeatAt).To(BeNumerically("<=", b.now.Add(minRestartHeartbeat)))
	})

	// Guards against a number that rises, and windows that are given up, with each lack of
	// supply: the API refuses an order for that as for a number.
	ginkgo.It("keeps its number if an order for more is refused, as for a lack of supply", func() {
		o := scale.Order{Service: "llm", FailureDomain: "z", Count: 5, Have: 4}
		c.handleUpstreamsOrdered(upstreamsOrdered{order: o, fence: fence, err: &cloud.FencedError{}}, b.now)
		Expect(c.lease.IsHeld(b.now)).To(BeTrue())
	})
})
