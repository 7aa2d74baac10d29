package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sycamorecourse/sycamorecourse/coord/clock"
	"github.com/sycamorecourse/sycamorecourse/coord/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var _ = Describe("Policy", func() {
	config := retry.DefaultConfig()
	newPolicy := func(seed uint64) *retry.Policy {
		return retry.NewPolicy(config, rand.New(rand.NewPCG(seed, 1)))
	}
	failure := retry.Failure{
		FailureDomain: "seoul-a", Attempts: 1, SafeToRepeat: true, Deadline: clock.Instant(time.Hour),
	}

	It("makes at most 1.1 attempts per request while a failure domain fails", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			p := newPolicy(rapid.Uint64().Draw(rt, "seed"))
			requests, retries := 0, 0
			for range rapid.IntRange(1, 3000).Draw(rt, "requests") {
				p.RecordRequest("seoul-a")
				requests++
				f := failure
				for {
					if _, ok := p.Decide(f, 0).(retry.Retry); !ok {
						break
					}
					retries++
					f.Attempts++
				}
				NewWithT(rt).Expect(retries * 10).To(BeNumerically("<=", requests))
			}
		})
	})

	It("keeps a separate budget for each failure domain", func() {
		p := newPolicy(1)
		for range 10 {
			p.RecordRequest("seoul-b")
		}
		Expect(p.Balance("seoul-b")).To(Equal(1))
		Expect(p.Decide(failure, 0)).To(Equal(retry.GiveUp{Err: &retry.BudgetError{FailureDomain: "seoul-a"}}))
	})

	It("gives up on unsafe, late and exhausted requests without a withdrawal", func() {
		p := newPolicy(1)
		for range 10 {
			p.RecordRequest("seoul-a")
		}
		unsafe, late, last := failure, failure, failure
		unsafe.SafeToRepeat = false
		late.MinDuration = 2 * time.Hour
		last.Attempts = config.MaxAttempts
		Expect(p.Decide(unsafe, 0)).To(HaveField("Err", BeAssignableToTypeOf(&retry.UnsafeError{})))
		Expect(p.Decide(late, 0)).To(HaveField("Err", BeAssignableToTypeOf(&retry.DeadlineError{})))
		Expect(p.Decide(last, 0)).To(HaveField("Err", BeAssignableToTypeOf(&retry.AttemptsError{})))
		Expect(p.Balance("seoul-a")).To(Equal(1))
	})

	It("waits at least as long as the upstream requested", func() {
		p := newPolicy(1)
		for range 10 {
			p.RecordRequest("seoul-a")
		}
		f := failure
		f.RetryAfter = time.Minute
		Expect(p.Decide(f, 0)).To(Equal(retry.Retry{At: clock.Instant(time.Minute)}))
	})

	It("draws delays from the whole range up to a growing maximum", func() {
		b := retry.NewBackoff(config, rand.New(rand.NewPCG(1, 2)))
		Expect(b.MaxDelay(1)).To(Equal(config.BaseBackoff))
		Expect(b.MaxDelay(2)).To(Equal(2 * config.BaseBackoff))
		Expect(b.MaxDelay(60)).To(Equal(config.MaxBackoff))
		var sum time.Duration
		const draws = 2000
		for range draws {
			wait := b.RandomDelay(3)
			Expect(wait).To(BeNumerically("<=", b.MaxDelay(3)))
			sum += wait
		}
		Expect(sum / draws).To(BeNumerically("~", b.MaxDelay(3)/2, b.MaxDelay(3)/20))
	})
})
