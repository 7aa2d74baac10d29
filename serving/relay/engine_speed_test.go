package relay

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// engine describes the idle speed of the engines of one service.
type engine struct {
	base            time.Duration
	tokensPerSecond float64
}

// observeTraffic lets an estimate see prompts of mixed lengths of which a share
// waited in a queue.
func observeTraffic(e *engineSpeed, truth engine, requests int, queued float64) {
	random := rand.New(rand.NewPCG(1, 2))
	for range requests {
		tokens := []int{0, 60, 500, 1800, 6000, 9000}[random.IntN(6)]
		took := truth.base + time.Duration(float64(tokens)/truth.tokensPerSecond*float64(time.Second))
		if random.Float64() < queued {
			took += time.Duration(random.IntN(800)) * time.Millisecond
		}
		e.observe(tokens, took)
	}
}

var _ = Describe("engineSpeed", func() {
	DescribeTable("finds the speed of an engine it knows nothing of",
		func(truth engine, queued float64) {
			e := newEngineSpeed()
			observeTraffic(&e, truth, 3000, queued)
			Expect(e.tokensPerSecond()).To(BeNumerically("~", truth.tokensPerSecond, 0.25*truth.tokensPerSecond))
			Expect(e.base).To(BeNumerically("~", truth.base, 15*time.Millisecond))
		},
		Entry("a fast engine with a slow first step", engine{50 * time.Millisecond, 112_000}, 0.0),
		Entry("a fast engine, half of the requests queue", engine{50 * time.Millisecond, 112_000}, 0.5),
		Entry("a slow engine", engine{20 * time.Millisecond, 15_000}, 0.0),
		Entry("a slow engine, a third of the requests queue", engine{20 * time.Millisecond, 15_000}, 0.3),
	)

	It("stays within its bounds whatever is observed", func() {
		e := newEngineSpeed()
		for range 2000 {
			e.observe(1<<30, time.Nanosecond)
			e.observe(0, -time.Second)
		}
		Expect(e.perToken).To(Equal(minPerToken))
		Expect(e.base).To(BeZero())
		for range 20000 {
			e.observe(100000, time.Hour)
			e.observe(0, time.Hour)
		}
		Expect(e.perToken).To(BeNumerically("<=", maxPerToken))
		Expect(e.base).To(BeNumerically("<=", maxBase))
	})
})
