package limit_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/serving/catalog"
	"github.com/sycamorecourse/sycamorecourse/serving/limit"
)

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

const customer = "acme"

func customers(rate, burst float64) map[string]*catalog.Customer {
	return map[string]*catalog.Customer{customer: {Name: customer, Rate: rate, Burst: burst, CountsTokens: true}}
}

var _ = Describe("Table", func() {
	start := clock.Instant(time.Hour)
	config := limit.Config{Window: 8 * time.Second, Overage: 0.1, Slack: 1000}
	peer := func(used limit.Use, r limit.Reserve, at clock.Instant) limit.Peer {
		return limit.Peer{
			Holder: limit.Holder{Instance: "b", Address: "b:1"}, IsReady: true, Share: 0.5, CountedAt: at,
			Used: map[string]limit.Use{customer: used}, Reserves: map[string]limit.Reserve{customer: r},
		}
	}
	divide := func(t *limit.Table, p limit.Peer, now clock.Instant) {
		t.SetDivision(limit.Division{
			Instance: "a", IsReady: true, Share: 0.5, Peers: []limit.Peer{p}, CurrentUntil: now.Add(2 * time.Second), CurrentFor: 2 * time.Second,
		}, now)
	}
	// active returns a table of a gateway that has announced reserves for some time.
	active := func(p func(clock.Instant) limit.Peer) (*limit.Table, clock.Instant) {
		t := limit.NewTable(config)
		t.Configure(customers(1000, 1000), start)
		now := start
		for range 12 {
			now = now.Add(500 * time.Millisecond)
			divide(t, p(now), now)
			t.Publish(now)
		}
		return t, now
	}
	idle := func(now clock.Instant) limit.Peer {
		return peer(limit.Use{}, limit.Reserve{Amount: 500, Pace: 500, ActiveIn: -4 * time.Second}, now)
	}

	DescribeTable("takes nothing over from a peer whose amounts can't be true", func(used limit.Use, r limit.Reserve) {
		t, now := active(idle)
		divide(t, peer(used, r, now), now)
		Expect(t.Charge(customer, 10, 0, nil, now).Outcome).To(Equal(limit.Admitted))
		Expect(t.Facts(now)[customer].UsedByOthers).To(BeNumerically(">=", 0))
		Expect(t.Facts(now)[customer].Unknown).To(BeNumerically(">=", 0))
	},
		Entry("negative", limit.Use{-1e9}, limit.Reserve{Amount: -5, Pace: -5}),
		Entry("not a number", limit.Use{math.NaN()}, limit.Reserve{Amount: math.NaN(), Pace: 1}),
		Entry("endless", limit.Use{math.Inf(1)}, limit.Reserve{Amount: math.Inf(1), Pace: 1}),
		Entry("huge", limit.Use{1e30}, limit.Reserve{Amount: 1e30}),
	)

	DescribeTable("lends nothing for an amount that can't be true", func(amount float64) {
		t, now := active(idle)
		Expect(t.Lend(customer, amount, now).Outcome).To(Equal(limit.Unknown))
		Expect(t.Facts(now)[customer].Used).To(BeZero())
	},
		Entry("zero", 0.0), Entry("negative", -1.0), Entry("not a number", math.NaN()), Entry("endless", math.Inf(1)), Entry("huge", 1e30),
	)

	It("lends nothing to an unknown customer, and counts what it lends as its own use", func() {
		t, now := active(idle)
		Expect(t.Lend("other", 1, now).Outcome).To(Equal(limit.Unknown))
		Expect(t.Lend(customer, 100, now).Outcome).To(Equal(limit.Admitted))
		Expect(t.Facts(now)[customer].Used).To(Equal(100.0))
	})

	It("denies a request once the others may have used the rest", func() {
		t, now := active(idle)
		// The ceiling is 9,000 with nine tenths of overage and slack, or 10,710.
		divide(t, peer(limit.Use{10_000}, limit.Reserve{Amount: 100, Pace: 550, ActiveIn: -4 * time.Second}, now), now)
		Expect(t.Charge(customer, 10, 0, nil, now).Outcome).To(Equal(limit.Admitted))
		Expect(t.Charge(customer, 10, 0, nil, now.Add(1200*time.Millisecond)).Outcome).To(Equal(limit.Exceeded))
	})

	It("asks another holder when its own reserve is used up, but not the one that was asked", func() {
		t, now := active(idle)
		for t.Charge(customer, 100, 0, nil, now).Outcome == limit.Admitted {
			continue
		}
		d := t.Charge(customer, 100, 0, nil, now)
		Expect(d.Outcome).To(Equal(limit.Ask))
		Expect(d.Holder).To(Equal(limit.Holder{Instance: "b", Address: "b:1"}))
		Expect(t.Charge(customer, 100, 0, []string{"b"}, now).Outcome).To(Equal(limit.Empty))
		t.Failed("b", now)
		Expect(t.Charge(customer, 100, 0, nil, now).Outcome).To(Equal(limit.Empty))
	})

	It("keeps what a holder has granted for another request, for a while", func() {
		t, now := active(idle)
		for t.Charge(customer, 100, 0, nil, now).Outcome == limit.Admitted {
			continue
		}
		t.Refund(customer, 150, true, now)
		Expect(t.Charge(customer, 100, 0, nil, now).Outcome).To(Equal(limit.Admitted))
		Expect(t.Charge(customer, 100, 0, nil, now).Outcome).To(Equal(limit.Ask))
		t.Refund(customer, 150, true, now)
		Expect(t.Charge(customer, 100, 0, []string{"b"}, now.Add(time.Second)).Outcome).NotTo(Equal(limit.Unknown))
	})

	It("keeps to its share, less what is known to be used, while it does not know what the others use", func() {
		t, now := active(func(now clock.Instant) limit.Peer {
			return peer(limit.Use{6000}, limit.Reserve{Amount: 500, Pace: 500, ActiveIn: -4 * time.Second}, now)
		})
		now = now.Add(3 * time.Second)
		spent := 0
		for t.Charge(customer, 100, 0, nil, now).Outcome == limit.Admitted {
			spent += 100
		}
		Expect(spent).To(BeNumerically(">=", 300))
		Expect(spent).To(BeNumerically("<=", (10_710-6000)/2))
		Expect(t.Facts(now)[customer].IsStandby).To(BeTrue())
	})

	It("binds a lower limit at once", func() {
		t, now := active(idle)
		t.Configure(customers(10, 10), now)
		for t.Charge(customer, 50, 0, []string{"b"}, now).Outcome == limit.Admitted {
			continue
		}
		Expect(t.Facts(now)[customer].Used).To(BeNumerically("<=", 90*1.09+900))
	})
})
