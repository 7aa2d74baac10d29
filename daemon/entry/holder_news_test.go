package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/cluster"
	"github.com/sycamorecourse/sycamorecourse/serving/exchange"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
	"github.com/sycamorecourse/sycamorecourse/serving/relay"
)

var _ = ginkgo.Describe("Dispatch and the news of other holders of a limit", func() {
	const customer, storeOffset = "acme", -20 * time.Minute
	var (
		d   *dispatcher
		now clock.Instant
	)
	reserves := map[string]limit.Reserve{customer: {Amount: 10, Pace: 100, ActiveIn: -4 * time.Second}}
	news := func(instance string, used float64) exchange.HolderNews {
		return exchange.HolderNews{Instance: instance, Used: map[string]limit.Use{customer: {used}}, Reserves: reserves}
	}
	usedByOthers := func() float64 { return d.core.Snapshot(now).Limits[customer].UsedByOthers }
	ginkgo.BeforeEach(func() {
		now = clock.Instant(time.Hour)
		core := relay.New(relay.Config{LimitWindow: 8 * time.Second, LimitOverage: 0.1, LimitSlack: 1000, GatewayCountUnknown: true})
		core.Configure(catalog.New(1, nil, nil, []*catalog.Customer{{Name: customer, Rate: 1000, Burst: 1000, CountsTokens: true}}, catalog.Limits{}), now)
		division := limit.Division{Instance: "a", IsReady: true, Share: 0.3, CurrentUntil: now.Add(2 * time.Second), CurrentFor: 2 * time.Second}
		for _, name := range []string{"b", "c"} {
			division.Peers = append(division.Peers, limit.Peer{
				Holder: limit.Holder{Instance: name, Address: name + ":1"}, IsReady: true, Share: 0.3, CountedAt: now.Add(-time.Second), Reserves: reserves,
			})
		}
		core.SetDivision(cluster.Division{Gateways: 3, Limits: division}, now)
		d = &dispatcher{core: core, instance: "a", log: zerolog.Nop()}
		d.handle(setClockOffset{store: storeOffset}, now)
	})
	// told returns the news of a holder that has counted its use some time ago.
	told := func(instance string, used float64, ago time.Duration) exchange.HolderNews {
		n := news(instance, used)
		n.CountedAt = time.Duration(now.Add(-ago)) + storeOffset
		return n
	}

	// Guards against the use of one gateway being taken for that of another one, which had
	// the address before.
	ginkgo.It("counts an answer for the gateway that has sent it", func() {
		d.handleUse(useHeard{instance: "b", sentAt: now, news: news("b", 600)}, now)
		Expect(usedByOthers()).To(Equal(600.0))
		now = now.Add(250 * time.Millisecond)
		d.handleUse(useHeard{instance: "b", sentAt: now, news: news("c", 50)}, now)
		Expect(usedByOthers()).To(Equal(650.0))
	})

	// Guards against a limit that is exceeded since old news is taken for what was counted
	// just now: the sender may have given up on it, and told newer news meanwhile.
	ginkgo.It("does not take news that comes late for new", func() {
		d.hearNews(told("b", 600, 0), now)
		Expect(usedByOthers()).To(Equal(600.0))
		now = now.Add(100 * time.Millisecond)
		d.hearNews(told("b", 50, 3*time.Second), now)
		Expect(usedByOthers()).To(Equal(600.0))
	})

	// Guards against the same where no newer news has come, as on a slow link.
	ginkgo.It("counts what a holder may have used since news that comes late", func() {
		const late = 700 * time.Millisecond
		unknown := func(ago time.Duration) float64 {
			d.hearNews(told("b", 600, ago), now)
			return d.core.Snapshot(now).Limits[customer].Unknown
		}
		fromLate := unknown(late)
		Expect(fromLate - unknown(0)).To(BeNumerically("~", 100*late.Seconds(), 1e-6))
	})

	// Guards against news that is lost because a clock is not known, or wrong.
	ginkgo.DescribeTable("takes news for new whose time says nothing", func(countedAt, ownOffset time.Duration) {
		d.handle(setClockOffset{store: ownOffset}, now)
		n := news("b", 600)
		n.CountedAt = countedAt
		d.hearNews(n, now)
		Expect(usedByOthers()).To(Equal(600.0))
	},
		ginkgo.Entry("of a sender that does not know the clock", time.Duration(0), storeOffset),
		ginkgo.Entry("while this gateway does not know it", time.Minute, time.Duration(0)),
		ginkgo.Entry("from the future", 2*time.Hour, storeOffset),
	)

	ginkgo.It("tells when it has counted what it tells", func() {
		Expect(d.ownNews(now).CountedAt).To(Equal(time.Duration(now) + storeOffset))
		d.handle(setClockOffset{}, now)
		Expect(d.ownNews(now).CountedAt).To(BeZero())
	})
})
