package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

// Guards against a limit that is exceeded since a holder forgets what another one has told
// it: news on two connections may arrive in either order.
var _ = DescribeTable("News of a holder that arrives after newer news of it", func(late time.Duration, used float64) {
	now := clock.Instant(time.Hour)
	t := limit.NewTable(limit.Config{Window: 8 * time.Second, Overage: 0.1, Slack: 1000})
	t.Configure(customers(1000, 1000), now)
	holder := limit.Holder{Instance: "b", Address: "b:1"}
	reserves := map[string]limit.Reserve{customer: {Amount: 10, Pace: 10, ActiveIn: -4 * time.Second}}
	t.SetDivision(limit.Division{
		Instance: "a", IsReady: true, Share: 0.5, CurrentUntil: now.Add(2 * time.Second), CurrentFor: 2 * time.Second,
		Peers: []limit.Peer{{Holder: holder, IsReady: true, Share: 0.5, CountedAt: now.Add(-time.Second), Reserves: reserves}},
	}, now)
	t.Hear("b", map[string]limit.Use{customer: {6000}}, reserves, now, now)
	Expect(t.Facts(now)[customer].UsedByOthers).To(Equal(6000.0))
	now = now.Add(50 * time.Millisecond)
	t.Hear("b", map[string]limit.Use{customer: {100}}, reserves, now.Add(-late), now)
	Expect(t.Facts(now)[customer].UsedByOthers).To(Equal(used))
},
	Entry("is ignored", 300*time.Millisecond, 6000.0),
	Entry("is ignored, however old", time.Minute, 6000.0),
	Entry("counts if it is newer after all", time.Duration(0), 100.0),
)
