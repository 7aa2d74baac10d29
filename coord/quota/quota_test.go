package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/lease"
	"github.com/sycamorecourse/sycamorecourse/coord/quota"
	"github.com/sycamorecourse/sycamorecourse/coord/row"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// noResponse is the cause of the errors of the table service in these tests.
type noResponse struct{}

func (noResponse) Error() string { return "response lost" }

var (
	unknown     = &row.UnknownError{Err: noResponse{}}
	unavailable = &row.UnavailableError{Err: noResponse{}}
	config      = lease.DefaultConfig()
	limit       = quota.Limit{Name: "money", Total: 1000, ConfigurationVersion: 1}
)

const start = clock.Instant(time.Hour)

// table is a table service with one row, the ledger.
type table struct{ row.Row }

func (t *table) apply(tx row.Transaction) error {
	change := tx.Changes[0]
	if change.Expect != t.Version {
		return &row.ConflictError{Key: change.Key}
	}
	t.Row = row.Row{Key: change.Key, Version: change.Expect + 1, Value: change.Value}
	return nil
}

func (t *table) runSteps(s *quota.Allocation, step lease.Step, now clock.Instant) lease.Step {
	for {
		switch w := step.(type) {
		case lease.Write:
			step = s.Written(t.apply(w.Transaction), now)
		case lease.Read:
			step = s.ReadResult(t.Row, nil, now)
		default:
			return step
		}
	}
}

func newAllocation(name string, want, weight uint64) *quota.Allocation {
	s := quota.New(limit, config, lease.Holder{Instance: name, Incarnation: 1})
	s.SetDemand(quota.Demand{Want: want, Weight: weight}, 0)
	return s
}

var _ = Describe("Share", func() {
	It("is weighted max-min fair and never exceeds the total or a want", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			expect := NewWithT(rt)
			total := rapid.Uint64Range(0, 5000).Draw(rt, "total")
			demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quota.Demand {
				return quota.Demand{
					Want:   rapid.Uint64Range(0, 2000).Draw(t, "want"),
					Weight: rapid.Uint64Range(1, 9).Draw(t, "weight"),
				}
			}), 1, 12).Draw(rt, "demands")
			parts := quota.Share(total, demands)
			sum, wants, isShort := uint64(0), uint64(0), false
			for i, d := range demands {
				expect.Expect(parts[i]).To(BeNumerically("<=", d.Want))
				sum += parts[i]
				wants += d.Want
				if parts[i] < d.Want {
					isShort = true
					for j, other := range demands {
						// A holder that gets less than it wants has no smaller
						// part by weight than any other, except for rounding.
						rounding := uint64(len(demands)-1) * d.Weight
						expect.Expect(parts[j] * d.Weight).To(BeNumerically("<=", (parts[i]+1)*other.Weight+rounding))
					}
				}
			}
			expect.Expect(sum).To(BeNumerically("<=", total))
			expect.Expect(isShort).To(Equal(wants > total && wants > sum))
			if isShort {
				expect.Expect(sum + uint64(len(demands))).To(BeNumerically(">", total))
			}
		})
	})
	It("does not overflow", func() {
		const most = ^uint64(0)
		Expect(quota.Share(most, []quota.Demand{{Want: most, Weight: 3}, {Want: most, Weight: 1}})).
			To(Equal([]uint64{most/4*3 + 2, most/4 + 1}))
	})
})

var _ = Describe("Allocation", func() {
	It("converges to fair shares, and reuses a dead holder's grant after the TTL", func() {
		t := &table{}
		a, b := newAllocation("a", 900, 1), newAllocation("b", 900, 3)
		now := start
		t.runSteps(a, a.Next(now), now)
		Expect(a.Amount(now)).To(Equal(uint64(900)))
		for range 10 {
			t.runSteps(b, b.Next(now), now)
			t.runSteps(a, a.Next(now), now)
			now = now.Add(time.Second)
		}
		Expect(a.Amount(now)).To(Equal(uint64(250)))
		Expect(b.Amount(now)).To(Equal(uint64(750)))
		died := now
		for b.Amount(now) < 900 {
			now = now.Add(time.Second)
			t.runSteps(b, b.Next(now), now)
		}
		Expect(now.Sub(died)).To(BeNumerically("~", config.TTL, 2*config.RenewEvery))
		Expect(a.MaySpend(1, 0, now)).To(MatchError(&quota.ExceededError{Limit: "money", Asked: 1}))
		Expect(b.MaySpend(100, 800, now)).To(Succeed())
		Expect(b.MaySpend(101, 800, now)).NotTo(Succeed())
	})

	It("keeps the committed amount despite the demands of others, and gives up everything on release", func() {
		t := &table{}
		a, b := newAllocation("a", 900, 1), newAllocation("b", 900, 1)
		now := start
		t.runSteps(a, a.Next(now), now)
		a.SetDemand(quota.Demand{Want: 900, Weight: 1}, 800)
		for range 10 {
			t.runSteps(b, b.Next(now), now)
			t.runSteps(a, a.Next(now), now)
			now = now.Add(time.Second)
		}
		Expect(a.Amount(now)).To(Equal(uint64(800)))
		Expect(b.Amount(now)).To(Equal(uint64(200)))
		Expect(t.runSteps(a, a.Release(now), now)).To(Equal(lease.Ended{}))
		Expect(a.Amount(now)).To(BeZero())
		now = now.Add(config.RenewEvery)
		t.runSteps(b, b.Next(now), now)
		Expect(b.Amount(now)).To(Equal(uint64(900)))
	})

	It("takes over the grant of a previous holder of its name, with the committed amount, by a renewal", func() {
		t := &table{}
		a, twin := newAllocation("a", 900, 1), newAllocation("a", 300, 1)
		t.runSteps(a, a.Next(start), start)
		twin.SetDemand(quota.Demand{Want: 300, Weight: 1}, 700)
		Expect(twin.Next(start)).To(BeAssignableToTypeOf(lease.Read{}))
		write := twin.ReadResult(t.Row, nil, start)
		Expect(twin.Amount(start)).To(BeZero())
		t.runSteps(twin, write, start)
		Expect(twin.Amount(start)).To(Equal(uint64(700)))
	})

	It("keeps the total of the newest configuration that any holder knew", func() {
		t := &table{}
		a, b := newAllocation("a", 900, 1), newAllocation("b", 900, 1)
		a.Configure(quota.Limit{Name: "money", Total: 400, ConfigurationVersion: 2})
		now := start
		t.runSteps(a, a.Next(now), now)
		t.runSteps(b, b.Next(now), now)
		Expect(b.Ledger().Total).To(Equal(uint64(400)))
		Expect(b.Amount(now)).To(BeZero())
	})

	It("never exceeds the total, including dead and paused holders, despite faults and lower totals", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			expect := NewWithT(rt)
			t := &table{}
			var allocations []*quota.Allocation
			for i := range 4 {
				allocations = append(allocations, newAllocation(fmt.Sprint("h", i), rapid.Uint64Range(0, 1200).Draw(rt, "want"), uint64(i+1)))
			}
			steps := make([]lease.Step, len(allocations))
			results := make([]error, len(allocations))
			applied := make([]bool, len(allocations))
			var delayed []row.Transaction
			now, total, granted := start, limit.Total, uint64(0)
			for range 250 {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
				i := rapid.IntRange(0, len(allocations)-1).Draw(rt, "holder")
				s := allocations[i]
				if rapid.IntRange(0, 60).Draw(rt, "lower") == 0 && total > 200 {
					total -= 100
					s.Configure(quota.Limit{Name: "money", Total: total, ConfigurationVersion: 2000 - total})
				}
				switch step := steps[i].(type) {
				case lease.Write:
					if applied[i] {
						applied[i] = false
						steps[i] = s.Written(results[i], now)
						break
					}
					applied[i] = true
					switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "delayed", "away"}).Draw(rt, "write") {
					case "ok":
						results[i] = t.apply(step.Transaction)
					case "lost":
						_ = t.apply(step.Transaction)
						results[i] = unknown
					case "delayed":
						delayed = append(delayed, step.Transaction)
						results[i] = unknown
					case "away":
						results[i] = unavailable
					}
				case lease.Read:
					if len(delayed) > 0 {
						_ = t.apply(delayed[0])
						delayed = delayed[1:]
					}
					steps[i] = s.ReadResult(t.Row, nil, now)
				default:
					steps[i] = s.Next(now)
				}
				ledger, err := quota.DecodeLedger(t.Row)
				expect.Expect(err).NotTo(HaveOccurred())
				expect.Expect(ledger.Granted()).To(BeNumerically("<=", max(ledger.Total, granted)))
				granted = ledger.Granted()
				sum := uint64(0)
				for _, s := range allocations {
					sum += s.Amount(now)
				}
				expect.Expect(sum).To(BeNumerically("<=", granted))
			}
		})
	})
})
