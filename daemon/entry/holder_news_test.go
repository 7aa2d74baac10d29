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
	const customer = "acme"
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
	})

	// Guards against the use of one gateway being taken for that of another one, which had
	// the address before.
	ginkgo.It("counts an answer for the gateway that has sent it", func() {
		d.handleUse(useHeard{instance: "b", sentAt: now, news: news("b", 600)}, now)
		Expect(usedByOthers()).To(Equal(600.0))
		now = now.Add(250 * time.Millisecond)
		d.handleUse(useHeard{instance: "b", sentAt: now, news: news("c", 50)}, now)
		Expect(usedByOthers()).To(Equal(650.0))
	})
})
